/** Load generator that compares the outcomes callers received with the runs of the workers. */
package dev.dandelionport.standin.load;
