/** Messages between the instances of a cell. */
package dev.dandelionport.core.message;
