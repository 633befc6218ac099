package leadferry.http;

import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import leadferry.engine.SocketSlack;
import leadferry.engine.Transport;

/**
 * Watches a request body whose reading may pause, and bounds the time at which the newest input of
 * the client can have arrived. Guards against a time budget that never starts: it counts from the
 * last byte of the request, which may be unread in the kernel for as long as reading is paused.
 *
 * <p>At each check, input that has arrived is either read or counted by the kernel as unread. If
 * nothing is unread, later input arrives after the check; if the sum has grown, its newest part
 * arrived after the previous check. Where the socket can't count, input is taken to be unread
 * whenever reading is paused. What the client's kernel may hold back counts too, see {@link
 * ArrivalHistory}.
 *
 * <p>Used only on the connection's event loop.
 */
final class UnreadInputWatch {
  private static final long CHECK_INTERVAL_MILLIS = SocketSlack.MS;

  /**
   * Time (ns) by which a request may be late if it is only possible that its last byte was written,
   * and not known: its final response must come within 500 ms of its time.
   */
  private static final long UNPROVEN_GRACE_NANOS = 400_000_000L;

  private final SocketChannel channel;
  private final Transport transport;
  private final ArrivalHistory arrivals = new ArrivalHistory();
  private long totalBytes;
  private LongSupplier receivedBytes;
  private Runnable onChecked;
  private Future<?> nextCheck;
  private long unreadBytes;
  private long arrivedBytes;
  private long checkedAtNanos;
  private long earliestArrivalNanos;

  UnreadInputWatch(SocketChannel channel, Transport transport) {
    this.channel = channel;
    this.transport = transport;
  }

  /**
   * Starts to watch the current request, or goes on to watch it with another count of its bytes.
   *
   * @param received the number of bytes of its body that have been read
   * @param total the length of its body, or -1 if unknown
   * @param checked called after each check
   */
  void start(LongSupplier received, long total, Runnable checked) {
    receivedBytes = received;
    totalBytes = total;
    onChecked = checked;
    if (nextCheck == null) {
      unreadBytes = 0;
      arrivedBytes = 0;
      checkedAtNanos = HttpServer.readUntilNanos();
      earliestArrivalNanos = checkedAtNanos;
      arrivals.restart(checkedAtNanos, receivedBytes.getAsLong());
      scheduleCheck();
    }
  }

  /** Stops the watch; has no effect if nothing is watched. */
  void stop() {
    if (nextCheck != null) {
      nextCheck.cancel(false);
      nextCheck = null;
    }
  }

  /** Returns the number of bytes that were unread at the last check, or an estimate of it. */
  long unreadBytes() {
    return unreadBytes;
  }

  /**
   * Returns the time (ns) that counts against the request although part of it is unread; 0 if
   * nothing was unread at the last check.
   */
  long unreadNanos(long nowNanos) {
    return unreadBytes == 0
        ? 0
        : Math.max(
            nowNanos - earliestArrivalNanos,
            arrivals.lastByteAgeNanos(nowNanos, arrivedBytes, totalBytes) - UNPROVEN_GRACE_NANOS);
  }

  /**
   * Returns the time (ns) that counts against the request now that the last byte of its body has
   * been read; 0 if it arrived after the last check.
   */
  long lastByteAgeNanos(long nowNanos) {
    if (nextCheck == null) {
      return 0;
    }
    long received = receivedBytes.getAsLong();
    long arrivalAgeNanos =
        arrivedBytes >= received && unreadBytes > 0 ? nowNanos - earliestArrivalNanos : 0;
    return Math.max(
        arrivalAgeNanos,
        arrivals.lastByteAgeNanos(nowNanos, received, received) - UNPROVEN_GRACE_NANOS);
  }

  private void scheduleCheck() {
    nextCheck =
        channel.eventLoop().schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void check() {
    scheduleCheck();
    long nowNanos = System.nanoTime();
    unreadBytes = countUnreadBytes();
    long nowArrivedBytes = receivedBytes.getAsLong() + unreadBytes;
    if (unreadBytes == 0) {
      earliestArrivalNanos = nowNanos;
      arrivals.restart(nowNanos, nowArrivedBytes);
    } else {
      earliestArrivalNanos = nowArrivedBytes > arrivedBytes ? checkedAtNanos : earliestArrivalNanos;
      arrivals.add(nowNanos, nowArrivedBytes);
    }
    arrivedBytes = nowArrivedBytes;
    checkedAtNanos = nowNanos;
    onChecked.run();
  }

  private long countUnreadBytes() {
    long count = transport.unreadBytes(channel);
    if (count != Transport.UNKNOWN_BYTES) {
      return count;
    }
    return channel.config().isAutoRead() ? 0 : 1;
  }
}
