/** Indexes that are built for each manifest version. */
package dev.dandelionport.node.version;
