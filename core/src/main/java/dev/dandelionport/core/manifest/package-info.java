/** The operators' manifest: teams, keys, shares, limits, failure domains and workload classes. */
package dev.dandelionport.core.manifest;
