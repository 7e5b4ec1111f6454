package dev.dandelionport.core.port;

/**
 * A worker's reply to a start command.
 *
 * @param accepted whether the task runs; if false, it is certain that the command will never start
 *     it
 * @param reason why the command was refused, or empty
 */
public record StartReply(boolean accepted, String reason) {}
