/** Stand-in for the users' platform: metadata store, runners and advice service in one process. */
package dev.dandelionport.standin.fleet;
