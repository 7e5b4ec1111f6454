/** The journal of a partition: its records, their codec, batched writes, snapshots and replay. */
package dev.dandelionport.core.journal;
