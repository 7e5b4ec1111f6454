/** Command line and main methods of the daemons. */
package dev.dandelionport.cli;
