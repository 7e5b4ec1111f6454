/** Deterministic fakes of the ports in virtual time, with fault injection and invariant checks. */
package dev.dandelionport.core.testing;
