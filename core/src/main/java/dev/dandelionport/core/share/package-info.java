/** Weighted dominant-resource shares of teams and client accounts. */
package dev.dandelionport.core.share;
