package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;

/**
 * Connection to a host. Carries one attempt at a time and returns to its pool in between. A
 * subclass for each protocol reads the incoming bytes.
 */
public abstract class UpstreamConnection extends ChannelInboundHandlerAdapter
    implements SocketBudget.IdleConnection {
  /**
   * A connection that ends within this time (ns) after a request was written is taken to have been
   * dead before the write.
   */
  private static final long DEAD_BEFORE_WRITE_NANOS = 25_000_000L;

  private final UpstreamConnectionPool pool;
  private final UpstreamHost host;
  private final InetSocketAddress address;
  private final double startedAt;
  private final Channel channel;
  private Attempt attempt;
  private boolean isFullyWritten;
  private int attemptCount;
  private long idleSinceNanos;

  /** Whether the connection carries no attempt and no response bytes are expected. */
  private boolean isUnused;

  private long idleNanos;
  private long writtenAtNanos;

  protected UpstreamConnection(UpstreamConnectionPool pool, UpstreamHost host, Channel channel) {
    this.pool = pool;
    this.host = host;
    this.address = host.address;
    this.startedAt = host.startedAt;
    this.channel = channel;
  }

  /** Returns the underlying channel. */
  public final Channel channel() {
    return channel;
  }

  /** Returns the current attempt, or null. */
  protected final Attempt attempt() {
    return attempt;
  }

  /** Whether the last byte of the current attempt has been passed to the kernel. */
  protected final boolean isFullyWritten() {
    return isFullyWritten;
  }

  /**
   * Whether the connection is open and has received neither bytes nor an end of stream since it
   * became idle; checks the socket directly.
   */
  final boolean isAlive() {
    return channel.isActive() && pool.isQuiet(channel);
  }

  /**
   * Returns the time (ns) at which the connection became idle or the discarding of an unwanted
   * response began.
   */
  final long idleSinceNanos() {
    return idleSinceNanos;
  }

  final boolean isReusable() {
    return host.sendable && address.equals(host.address) && startedAt == host.startedAt;
  }

  /** Returns the number of attempts that the connection has carried. */
  final int attemptCount() {
    return attemptCount;
  }

  /**
   * Handles bytes that belong to no response, and closes the connection. The delay between the last
   * response and such bytes is recorded only where the connection carried no attempt. Two other
   * cases say nothing about the delay: bytes that follow a malformed response in the same read, and
   * bytes that the decoder produces when the connection ends within a response.
   */
  protected final void onSurplusBytes() {
    if (!channel.isOpen()) {
      return;
    }
    host.onSurplusBytes();
    if (isUnused) {
      pool.onSurplusBytes(System.nanoTime() - ReadLagTracker.lagNanos() - idleSinceNanos);
    }
    channel.close();
  }

  /** Writes the attempt. From this call on, the attempt cannot be held back. */
  final void send(Attempt next) {
    writtenAtNanos = System.nanoTime();
    idleNanos = idleSinceNanos == 0 ? 0 : writtenAtNanos - idleSinceNanos;
    attempt = next;
    isUnused = false;
    attemptCount++;
    isFullyWritten = false;
    prepareForAttempt();
    next.onAttached(this);
    next.write(channel)
        .addListener(
            f -> {
              if (attempt == next) {
                if (f.isSuccess()) {
                  isFullyWritten = true;
                } else {
                  onConnectionLost();
                }
              }
            });
    next.onWriteStarted();
  }

  /**
   * Resets the reader's state of the previous attempt; called before the next attempt is written.
   */
  protected abstract void prepareForAttempt();

  /** Whether any byte of the response to the current attempt has been received. */
  protected abstract boolean hasResponseBytes();

  /**
   * Handles the end of a response; {@code mayReuse} indicates whether the protocol permits reuse of
   * the connection.
   */
  protected final void onResponseComplete(boolean mayReuse) {
    attempt = null;
    channel.config().setAutoRead(true);
    if (mayReuse
        && channel.isActive()
        && isReusable()
        && attemptCount < pool.maxRequestsPerConnection()) {
      idleSinceNanos = System.nanoTime();
      isUnused = true;
      pool.onConnectionIdle(host, this);
    } else {
      channel.close();
    }
  }

  /**
   * Detaches the attempt, which needs no more bytes of its response. With {@code readOn}, the
   * connection stays open to read and discard the rest of the response; otherwise the connection
   * closes.
   */
  protected final void detach(boolean readOn) {
    attempt = null;
    idleSinceNanos = System.nanoTime();
    if (readOn) {
      pool.onDiscardStarted(this);
    } else {
      channel.close();
    }
  }

  /**
   * Drops the attempt and closes the connection, so that later bytes cannot reach another attempt.
   */
  final void abort(Attempt expected) {
    if (attempt == expected) {
      attempt = null;
      channel.close();
    }
  }

  /** Closes the connection and ends the attempt that it carries. */
  protected final void onConnectionLost() {
    Attempt ended = attempt;
    boolean wasFullyWritten = isFullyWritten;
    attempt = null;
    channel.close();
    if (ended != null) {
      long now = System.nanoTime();
      if (idleNanos > 0 && !hasResponseBytes() && now - writtenAtNanos < DEAD_BEFORE_WRITE_NANOS) {
        host.onIdleConnectionDead(idleNanos, now);
      }
      if (wasFullyWritten) {
        ended.onConnectionBroken();
      } else {
        ended.endAsConnectFailed();
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    onConnectionLost();
    pool.onConnectionClosed(host, this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    onConnectionLost();
  }

  @Override
  public void closeIdle() {
    channel.close();
  }
}
