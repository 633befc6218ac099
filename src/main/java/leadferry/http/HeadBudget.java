package leadferry.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;

/**
 * Limits the memory of all message heads that one server holds, of clients and of upstream hosts:
 * bytes that are not decoded yet, and decoded heads as objects on the heap. A head of many short
 * fields takes many times its length there.
 *
 * <p>Used only on the server's event loop.
 */
public final class HeadBudget {
  /** Maximum number of fields of a head. */
  static final int MAX_FIELDS = 128;

  /** Part of the heap that heads may take. */
  private static final double HEAP_SHARE = 0.2;

  /** Memory (bytes) of a decoded field besides its characters: its entry and two strings. */
  private static final int FIELD_BYTES = 160;

  /** Memory (bytes) of a decoded head without its fields. */
  private static final int HEAD_BYTES = 600;

  /** Largest head (bytes) that may use the whole budget; larger ones may use LARGE_SHARE of it. */
  private static final int SMALL_BYTES = 6 * 1024;

  private static final double LARGE_SHARE = 0.75;

  /** Memory of one head, which its holder must release. */
  final class Reservation {
    private long bytes;

    /**
     * Changes the size of the reservation; returns false and keeps the old size where the budget
     * has no room.
     */
    boolean resize(long newBytes) {
      long limit = newBytes <= SMALL_BYTES ? limitBytes : (long) (LARGE_SHARE * limitBytes);
      if (newBytes > bytes && usedBytes + newBytes - bytes > limit) {
        return false;
      }
      usedBytes += newBytes - bytes;
      bytes = newBytes;
      return true;
    }

    /** Releases the memory; has no effect where it was released. */
    void release() {
      usedBytes -= bytes;
      bytes = 0;
    }
  }

  private final long limitBytes;
  private long usedBytes;

  /** Creates a budget of {@code limitBytes}. */
  HeadBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Returns the budget of one of {@code servers} event loops that share the heap of the process.
   */
  public static HeadBudget ofHeap(int servers) {
    return new HeadBudget((long) (HEAP_SHARE * Runtime.getRuntime().maxMemory() / servers));
  }

  /** Returns a reservation of nothing. */
  Reservation open() {
    return new Reservation();
  }

  /** Returns the number of bytes that are reserved. */
  long usedBytes() {
    return usedBytes;
  }

  /** Returns the estimated memory (bytes) of a decoded head. */
  static long sizeOf(HttpHeaders headers, int firstLineLength) {
    long bytes = HEAD_BYTES + firstLineLength;
    for (Map.Entry<String, String> field : headers) {
      bytes += FIELD_BYTES + field.getKey().length() + field.getValue().length();
    }
    return bytes;
  }
}
