package leadferry.engine;

import leadferry.loadbalancer.AttemptOutcome;

/**
 * Phase of an attempt. All transitions are defined here; an attempt that is over keeps its phase.
 *
 * <pre>
 *   CREATED -> PENDING -> CONNECTING -> ATTACHED -> NEVER_RAN or MAY_HAVE_RUN
 *        (PENDING, CONNECTING and ATTACHED are optional; every phase before the
 *         last two can end in one of them)
 * </pre>
 */
enum AttemptPhase {
  /** The attempt has not been started. */
  CREATED,
  /** The attempt waits in its host's queue for a connection. */
  PENDING,
  /** A connection is being opened for the attempt. */
  CONNECTING,
  /** A connection carries the attempt; its first byte may have been sent. */
  ATTACHED,
  /** The attempt is over, with an outcome that proves that the host did not run it. */
  NEVER_RAN,
  /** The attempt is over, and the host may have run it. */
  MAY_HAVE_RUN;

  boolean isOver() {
    return this == NEVER_RAN || this == MAY_HAVE_RUN;
  }

  /**
   * Whether the attempt waits until a connection is established or becomes free; false once a
   * connection carries it.
   */
  boolean hasWaited() {
    return this == PENDING || this == CONNECTING;
  }

  /** Whether the host may have run the attempt, or may still do so. */
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
