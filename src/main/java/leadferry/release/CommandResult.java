package leadferry.release;

/**
 * What became of a command that changes a target.
 *
 * @param succeeded whether it ended with status 0
 * @param output what it said, for people
 */
public record CommandResult(boolean succeeded, String output) {}
