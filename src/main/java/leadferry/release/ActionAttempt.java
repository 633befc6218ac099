package leadferry.release;

/** One attempt of an action; the key under which a driver keeps the command and its result. */
record ActionAttempt(long action, int attempt) {}
