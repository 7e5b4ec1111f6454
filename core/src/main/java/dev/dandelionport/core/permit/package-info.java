/** Division of the limits of teams among the partitions of a region. */
package dev.dandelionport.core.permit;
