package leadferry.release;

/**
 * Result of a command that changes a target.
 *
 * @param succeeded whether the command exited with status 0
 * @param output human-readable output of the command
 */
public record CommandResult(boolean succeeded, String output) {}
