/** The deterministic state machine that schedules the jobs of one partition. */
package dev.dandelionport.core.scheduler;
