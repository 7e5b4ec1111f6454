/**
 * Connects the scheduler and ownership state machines to the ports: partition hosts and the
 * instance that runs them.
 */
package dev.dandelionport.core.engine;
