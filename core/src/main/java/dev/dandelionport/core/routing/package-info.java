/** Request routing: home partitions, retries, peer clocks and admission limits. */
package dev.dandelionport.core.routing;
