/**
 * Deterministic state machine that schedules workflows: jobs of dependent steps with many tasks.
 */
package dev.dandelionport.core.workflow;
