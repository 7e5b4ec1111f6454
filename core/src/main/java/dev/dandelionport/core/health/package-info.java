/** Pure decisions about the health of runners and workers, and about runs that take long. */
package dev.dandelionport.core.health;
