package leadferry.release;

/**
 * One attempt of an action on a target. A driver stores the command of the attempt and the result
 * of the command under this key.
 *
 * @param action number of the action, unique in the fleet
 * @param attempt number of the attempt, from 1
 */
record ActionAttempt(long action, int attempt) {}
