/** Selection of workers for tasks. */
package dev.dandelionport.core.placement;
