package leadferry.release;

/**
 * A timer of a release. Its expiry is logged by its name: the stored name of the kind, the release
 * and a number, separated by colons.
 *
 * @param kind what the timer measures
 * @param release name of the release
 * @param number number that distinguishes timers of one kind: a fencing token, the number of a
 *     release, a change or an action
 */
record ReleaseTimer(Kind kind, String release, long number) {
  private static final String SEPARATOR = ":";

  /** Kinds of timers. */
  enum Kind {
    /** Time until the lease of the driver expires. */
    DRIVER_LEASE("release-driver"),
    /** Time limit of the whole release. */
    RELEASE_LIMIT("release-longest"),
    /** Baking time of a step. */
    BAKING("release-bake"),
    /** Time limit of an action, from the grant until the return to service. */
    ACTION_LIMIT("release-action");

    private final String storedName;

    Kind(String storedName) {
      this.storedName = storedName;
    }

    private static Kind fromStoredName(String storedName) {
      for (Kind kind : values()) {
        if (kind.storedName.equals(storedName)) {
          return kind;
        }
      }
      return ACTION_LIMIT;
    }
  }

  /** Returns the timer with the given name. */
  static ReleaseTimer parse(String name) {
    String[] parts = name.split(SEPARATOR);
    return new ReleaseTimer(Kind.fromStoredName(parts[0]), parts[1], Long.parseLong(parts[2]));
  }

  String name() {
    return kind.storedName + SEPARATOR + release + SEPARATOR + number;
  }
}
