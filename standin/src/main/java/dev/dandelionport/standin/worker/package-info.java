/** Simulated workers with a record of their runs, which is checked against invariants. */
package dev.dandelionport.standin.worker;
