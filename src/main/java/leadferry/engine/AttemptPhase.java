package leadferry.engine;

import leadferry.loadbalancer.AttemptOutcome;

/**
 * How far an attempt has come. The one place for the transitions; an attempt that is over stays so.
 *
 * <pre>
 *   CREATED -> PENDING -> CONNECTING -> ATTACHED -> NEVER_RAN or MAY_HAVE_RUN
 *                (each but the last two may be left out, and each may end it)
 * </pre>
 */
enum AttemptPhase {
  /** Nothing has been done for it. */
  CREATED,
  /** It stands in its host's queue for a connection. */
  PENDING,
  /** A connection is being opened for it. */
  CONNECTING,
  /** A connection carries it: its first byte may have gone out. */
  ATTACHED,
  /** Over, with an outcome that proves that its host did not run it. */
  NEVER_RAN,
  /** Over, and its host may have run it. */
  MAY_HAVE_RUN;

  boolean isOver() {
    return this == NEVER_RAN || this == MAY_HAVE_RUN;
  }

  /** Whether its connection had to come up first, or to become free. */
  boolean hasWaited() {
    return this == PENDING || this == CONNECTING;
  }

  /** Whether it may have run, or may yet. */
  boolean mayHaveRun() {
    return this == ATTACHED || this == MAY_HAVE_RUN;
  }

  AttemptPhase pending() {
    return isOver() ? this : PENDING;
  }

  AttemptPhase connecting() {
    return isOver() ? this : CONNECTING;
  }

  AttemptPhase attached() {
    return isOver() ? this : ATTACHED;
  }

  AttemptPhase ended(AttemptOutcome outcome) {
    if (isOver()) {
      return this;
    }
    return outcome.hasNoEffect() ? NEVER_RAN : MAY_HAVE_RUN;
  }
}
