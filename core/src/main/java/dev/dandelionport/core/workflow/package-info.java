/** The deterministic state machine that runs workflows: jobs of dependent steps with many tasks. */
package dev.dandelionport.core.workflow;
