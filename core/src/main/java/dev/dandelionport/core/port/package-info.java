/**
 * Interfaces to external systems: stores, workers, runners, peers, the instance list and the advice
 * service.
 */
package dev.dandelionport.core.port;
