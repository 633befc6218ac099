package leadferry.release;

/** One attempt of an action: a driver runs a command and keeps its result by this. */
record ActionAttempt(long action, int attempt) {}
