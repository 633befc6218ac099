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
 * whenever reading is paused.
 *
 * <p>Used only on the connection's event loop.
 */
final class UnreadInputWatch {
  private static final long CHECK_INTERVAL_MILLIS = SocketSlack.MS;

  private final SocketChannel channel;
  private final Transport transport;
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
   * @param checked called after each check
   */
  void start(LongSupplier received, Runnable checked) {
    receivedBytes = received;
    onChecked = checked;
    if (nextCheck == null) {
      unreadBytes = 0;
      arrivedBytes = 0;
      checkedAtNanos = HttpServer.readUntilNanos();
      earliestArrivalNanos = checkedAtNanos;
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
   * Returns the longest time (ns) for which all input that has arrived can have been here, part of
   * it unread; 0 if nothing was unread at the last check.
   */
  long unreadNanos(long nowNanos) {
    return unreadBytes == 0 ? 0 : nowNanos - earliestArrivalNanos;
  }

  /**
   * Returns the longest time (ns) for which the last byte of the body, which has just been read,
   * can have been here; 0 if it arrived after the last check.
   */
  long lastByteAgeNanos(long nowNanos) {
    boolean isWatched = nextCheck != null;
    return isWatched && arrivedBytes >= receivedBytes.getAsLong() ? unreadNanos(nowNanos) : 0;
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
    } else if (nowArrivedBytes > arrivedBytes) {
      earliestArrivalNanos = checkedAtNanos;
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
