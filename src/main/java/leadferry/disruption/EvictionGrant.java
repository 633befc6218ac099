package leadferry.disruption;

/**
 * The right of one proxy or host to be out of service.
 *
 * <pre>
 *   granted --(undo, its time)--> ending --(holder: "I serve again"; host: all have heard)--> gone
 * </pre>
 *
 * <p>A permit that is ending still counts: guards against a holder that hears of the grant only
 * after somebody else has been given the place.
 */
final class EvictionGrant {
  final String id;
  final Target of;
  final String who;
  final String why;

  /** How long it holds (ms), 0 for until it is given back. */
  final long forMs;

  /**
   * The version of the ledger in which it was granted, and in which it began to end, 0 while it has
   * not.
   */
  final long since;

  long endSince;
  String endWhy = "";

  /** Its holder is to end for good. */
  boolean leaving;

  EvictionGrant(String id, Target of, String who, String why, long forMs, long since) {
    this.id = id;
    this.of = of;
    this.who = who;
    this.why = why;
    this.forMs = forMs;
    this.since = since;
  }

  boolean ending() {
    return endSince > 0;
  }
}
