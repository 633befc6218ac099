package leadferry.http;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Ids of requests that are open, or whose client left before its response although a host may have
 * run them. Guards against a second effect: a request with such an id is rejected. A table may be
 * shared by the processes that serve one address during an upgrade, through a file that each of
 * them maps.
 *
 * <pre>
 *   slot = fingerprint of an id (8 bytes) | System.nanoTime until which it is taken (8 bytes)
 * </pre>
 *
 * <p>Its size is fixed: where all slots for an id are taken, the one that is free first is given
 * away. A claim is a compare-and-set of a fingerprint, so two processes can't both claim an id.
 */
public final class RequestIdTable {
  private static final int SLOTS = 1 << 14;
  private static final int SLOT_BYTES = 2 * Long.BYTES;

  /** Number of slots in which an id may stand. */
  private static final int SLOTS_PER_ID = 16;

  /** Time (ns) for which the id of an open request is taken; longer than any request is open. */
  private static final long OPEN_NANOS = 3_700_000_000_000L;

  /** Time (ns) for which the id of a request whose client left stays taken. */
  private static final long LEFT_NANOS = 30_000_000_000L;

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final VarHandle LONGS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final ByteBuffer slots;

  private RequestIdTable(ByteBuffer slots) {
    this.slots = slots;
  }

  /** Returns a table of this process alone. */
  public static RequestIdTable inMemory() {
    return new RequestIdTable(ByteBuffer.allocateDirect(SLOTS * SLOT_BYTES));
  }

  /**
   * Returns the table that all processes share which map this file.
   *
   * @throws IOException if the file can't be created or mapped
   */
  public static RequestIdTable shared(Path file) throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      return new RequestIdTable(
          channel.map(FileChannel.MapMode.READ_WRITE, 0, (long) SLOTS * SLOT_BYTES));
    }
  }

  /** Claims the id for an open request; returns false if it is taken. */
  boolean claim(String id) {
    long fingerprint = fingerprint(id);
    while (true) {
      long nowNanos = System.nanoTime();
      int slot = slotToClaim(fingerprint, nowNanos);
      if (slot < 0) {
        return false;
      }
      long occupant = fingerprintAt(slot);
      if (LONGS.compareAndSet(slots, slot * SLOT_BYTES, occupant, fingerprint)) {
        setTakenUntil(slot, nowNanos + OPEN_NANOS);
        return true;
      }
    }
  }

  /**
   * Returns the first slot of this id that is free, or the one that is free first; -1 if the id is
   * taken.
   */
  private int slotToClaim(long fingerprint, long nowNanos) {
    int best = -1;
    long bestNanos = Long.MAX_VALUE;
    for (int i = 0; i < SLOTS_PER_ID; i++) {
      int slot = (int) ((fingerprint >>> 1) + i) & (SLOTS - 1);
      long remainingNanos = fingerprintAt(slot) == 0 ? 0 : takenUntil(slot) - nowNanos;
      if (remainingNanos > 0 && fingerprintAt(slot) == fingerprint) {
        return -1;
      }
      if (Math.max(0, remainingNanos) < bestNanos) {
        best = slot;
        bestNanos = Math.max(0, remainingNanos);
      }
    }
    return best;
  }

  /** Frees the id of a request that has its response, or that no host can have run. */
  void release(String id) {
    setTakenUntil(id, 0);
  }

  /** Keeps the id of a request taken whose client left and which a host may have run. */
  void keepAfterDisconnect(String id) {
    setTakenUntil(id, LEFT_NANOS);
  }

  private void setTakenUntil(String id, long nanosFromNow) {
    long fingerprint = fingerprint(id);
    for (int i = 0; i < SLOTS_PER_ID; i++) {
      int slot = (int) ((fingerprint >>> 1) + i) & (SLOTS - 1);
      if (fingerprintAt(slot) == fingerprint) {
        setTakenUntil(slot, System.nanoTime() + nanosFromNow);
      }
    }
  }

  private long fingerprintAt(int slot) {
    return (long) LONGS.getVolatile(slots, slot * SLOT_BYTES);
  }

  private long takenUntil(int slot) {
    return (long) LONGS.getVolatile(slots, slot * SLOT_BYTES + Long.BYTES);
  }

  private void setTakenUntil(int slot, long nanos) {
    LONGS.setVolatile(slots, slot * SLOT_BYTES + Long.BYTES, nanos);
  }

  /**
   * Returns the FNV-1a hash of the id, mixed, and never 0, which marks a slot that was not used.
   */
  private static long fingerprint(String id) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> 32)) * FNV_PRIME;
    return (hash ^ (hash >>> 29)) | 1;
  }
}
