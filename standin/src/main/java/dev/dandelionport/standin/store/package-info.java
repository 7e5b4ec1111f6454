/** Stand-in for the platform's key-value store. */
package dev.dandelionport.standin.store;
