package dev.dandelionport.standin.fleet;

/** An HTTP response with a JSON body. */
record Reply(int status, String body) {}
