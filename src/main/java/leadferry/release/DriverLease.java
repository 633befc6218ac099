package leadferry.release;

import java.util.Optional;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;

/**
 * The lease under which one driver at a time carries a release out, with its fencing token
 * (Burrows, The Chubby lock service, section 2.4: sequencers).
 *
 * <p>Invariant: fences only grow, and an entry of a driver is applied only under the fence of the
 * lease that is held.
 */
final class DriverLease {
  /** The driver that holds it, or "". */
  String driver = "";

  /** Its length (ms). */
  long leaseMillis;

  /** The fence that the last holder got with it. */
  long fence;

  /** Whether the last holder was lost, and did not give it back. */
  boolean holderWasLost;

  boolean isHeld() {
    return !driver.isEmpty();
  }

  boolean isHeldBy(String name) {
    return driver.equals(name);
  }

  void acquire(String newDriver, long newLeaseMillis, long newFence) {
    holderWasLost = false;
    driver = newDriver;
    leaseMillis = newLeaseMillis;
    fence = newFence;
  }

  /** The holder gives it back. */
  void giveBack(long holderFence) {
    end(holderFence, false);
  }

  /** Nothing was heard of the holder for the lease's length. */
  void expire(long holderFence) {
    end(holderFence, true);
  }

  private void end(long holderFence, boolean lost) {
    if (holderFence == fence && isHeld()) {
      driver = "";
      holderWasLost = lost;
    }
  }

  /** Why an entry under this fence is not applied; empty where it is. */
  Optional<Outcome> rejectionOf(long entryFence) {
    if (isHeld() && entryFence == fence) {
      return Optional.empty();
    }
    String expected = isHeld() ? fence + ", of " + driver : "a driver's that holds its lease";
    return Optional.of(
        Outcome.of(Status.CONFLICT, "fence " + entryFence + " (expected: " + expected + ")"));
  }
}
