/**
 * Runs the workflow scheduler on a cluster of instances: owner election, journal, runner and advice
 * calls, and client requests.
 */
package dev.dandelionport.core.dispatch;
