/** Connections to peers, the store, the instance list and workers, with their frames and TLS. */
package dev.dandelionport.node.connection;
