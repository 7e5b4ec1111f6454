/** HTTP services for callers and operators: parsing, authorizing and answering requests. */
package dev.dandelionport.node.request;
