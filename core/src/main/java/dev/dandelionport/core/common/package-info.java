/** Identifiers, resource quantities, clocks, JSON and locking utilities shared by all packages. */
package dev.dandelionport.core.common;
