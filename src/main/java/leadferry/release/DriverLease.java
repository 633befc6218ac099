package leadferry.release;

import java.util.Optional;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;

/**
 * Lease that allows one driver at a time to carry out a release, with its fencing token (Burrows,
 * The Chubby lock service, section 2.4: sequencers).
 *
 * <p>Invariant: fencing tokens only grow, and a driver's command takes effect only if it carries
 * the token of the lease that is held now.
 */
final class DriverLease {
  /** Name of the driver that holds the lease, or "". */
  String driver = "";

  /** Duration of the lease (ms). */
  long leaseMillis;

  /** Fencing token of the last holder. */
  long fence;

  /** Whether the lease of the last holder expired, rather than being given back. */
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

  /** Ends the lease because its holder gives it back. */
  void yieldLease(long holderFence) {
    end(holderFence, false);
  }

  /** Ends the lease because its holder did not renew it in time. */
  void expire(long holderFence) {
    end(holderFence, true);
  }

  private void end(long holderFence, boolean lost) {
    if (holderFence == fence && isHeld()) {
      driver = "";
      holderWasLost = lost;
    }
  }

  /** Returns why a command with the given fencing token is rejected; empty if it is accepted. */
  Optional<Outcome> rejectionOf(long entryFence) {
    if (isHeld() && entryFence == fence) {
      return Optional.empty();
    }
    String expected = isHeld() ? fence + ", of " + driver : "a driver's that holds its lease";
    return Optional.of(
        Outcome.of(Status.CONFLICT, "fence " + entryFence + " (expected: " + expected + ")"));
  }
}
