package leadferry.release;

/**
 * A timer of a release. Its name goes into the log when it has run out: the kind's word, the
 * release and a number, separated by colons.
 *
 * @param kind what it measures
 * @param release the release's name
 * @param number tells it from others of its kind: a fence, a release's number, a change or an
 *     action
 */
record ReleaseTimer(Kind kind, String release, long number) {
  private static final String SEPARATOR = ":";

  /** What a timer measures. */
  enum Kind {
    /** Silence of the driver, up to its lease's length. */
    DRIVER_LEASE("release-driver"),
    /** The whole release. */
    RELEASE_LIMIT("release-longest"),
    /** The baking of a step. */
    BAKING("release-bake"),
    /** A target's action, from its grant until it is back in service. */
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

  /** The timer of that name. */
  static ReleaseTimer parse(String name) {
    String[] parts = name.split(SEPARATOR);
    return new ReleaseTimer(Kind.fromStoredName(parts[0]), parts[1], Long.parseLong(parts[2]));
  }

  String name() {
    return kind.storedName + SEPARATOR + release + SEPARATOR + number;
  }
}
