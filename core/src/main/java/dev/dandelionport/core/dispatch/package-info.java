/**
 * Drives the workflow scheduler: who owns the workflows, the journal, runners, advice and callers.
 */
package dev.dandelionport.core.dispatch;
