/** Components that exist once per process: settings, logging, metrics and the instance itself. */
package dev.dandelionport.node.process;
