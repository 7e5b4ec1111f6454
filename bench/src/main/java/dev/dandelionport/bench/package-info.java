/** Benchmarks of scheduling decisions: their time, and their quality against a baseline. */
package dev.dandelionport.bench;
