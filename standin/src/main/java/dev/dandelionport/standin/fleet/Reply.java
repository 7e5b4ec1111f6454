package dev.dandelionport.standin.fleet;

/** An HTTP answer with a JSON body. */
record Reply(int status, String body) {}
