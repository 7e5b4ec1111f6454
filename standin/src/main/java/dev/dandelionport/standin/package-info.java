/** Simulated platform for tests and local use: store, workers and instance list. */
package dev.dandelionport.standin;
