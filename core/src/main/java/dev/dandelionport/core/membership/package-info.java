/** Failure detection with direct heartbeats between instances. */
package dev.dandelionport.core.membership;
