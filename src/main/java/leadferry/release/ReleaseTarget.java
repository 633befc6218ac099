package leadferry.release;

/**
 * One target of a release.
 *
 * <pre>
 *   IN --intended--> LEAVING --out everywhere, acting--> ACTING --observed--> COMING --what it was: warm, settled--> IN
 *                    LEAVING --given back untouched------------------------> COMING
 * </pre>
 */
final class ReleaseTarget {
  /** Where it stands. */
  enum Phase {
    IN,
    /** It holds a permit and is on its way out. */
    LEAVING,
    /** It is out, and what changes it may have been begun. */
    ACTING,
    /** Its permit is ending: it counts as out until it is what it was. */
    COMING
  }

  /** What it is, as far as that has been seen. */
  enum At {
    OLD,
    NEW,
    /** Changed, or being changed, and not seen since. */
    UNKNOWN
  }

  final String name;
  final int step;
  Phase phase = Phase.IN;
  At at = At.OLD;
  String permit = "";

  /** The number of what is done to it, one of the ledger's own; from its grant on. */
  long action;

  /** The fence of the driver that last took its action up. */
  long fence;

  /** The change of the ledger with which its action began to be carried out. */
  long actedAt;

  /** How often its action was begun. */
  int tries;

  /** What was last observed of it, for people. */
  String found = "";

  /** What an agent told of its action; "" before. */
  String reported = "";

  /** Its action's time is over. */
  boolean late;

  /** Held out of service since it came back with another version. */
  boolean held;

  /** The fleet does not know it any more. */
  boolean gone;

  /**
   * When it last came back into service, in the release's own count; the way back begins with the
   * highest.
   */
  long order;

  ReleaseTarget(String name, int step) {
    this.name = name;
    this.step = step;
  }
}
