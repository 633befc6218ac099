package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;

/**
 * A connection to a host. It carries one attempt at a time and goes back to its pool in between.
 * What comes in on it is read by its protocol's sub-class.
 */
public abstract class UpstreamConnection extends ChannelInboundHandlerAdapter
    implements SocketBudget.IdleConnection {
  /** An end so soon (ns) after a request was written tells that the connection was dead before. */
  private static final long AT_ONCE_NANOS = 25_000_000L;

  private final UpstreamConnectionPool pool;
  private final UpstreamHost host;
  private final InetSocketAddress address;
  private final double started;
  private final Channel channel;
  private Attempt attempt;
  private boolean written;
  private int carried;
  private long since;

  /** It carries nothing, and nothing of an answer is expected. */
  private boolean unused;

  private long idleFor;
  private long writtenAt;

  protected UpstreamConnection(UpstreamConnectionPool pool, UpstreamHost host, Channel channel) {
    this.pool = pool;
    this.host = host;
    this.address = host.address;
    this.started = host.startedAt;
    this.channel = channel;
  }

  /** The socket that it stands on. */
  public final Channel channel() {
    return channel;
  }

  /** What it carries now, or null. */
  protected final Attempt attempt() {
    return attempt;
  }

  /** Whether the last byte of the present attempt has been given to the kernel. */
  protected final boolean isFullyWritten() {
    return written;
  }

  /** Whether nothing has come or ended here since it went idle; asks the socket itself. */
  final boolean isAlive() {
    return channel.isActive() && pool.isQuiet(channel);
  }

  /** Nanoseconds at which it went idle or its unwanted rest began. */
  final long idleSinceNanos() {
    return since;
  }

  final boolean isReusable() {
    return host.sendable && address.equals(host.address) && started == host.startedAt;
  }

  /** Attempts that it has been given so far. */
  final int attemptCount() {
    return carried;
  }

  /**
   * Bytes came that belong to no answer. Only what comes while nothing is carried tells how late
   * such bytes are: what stands behind a fault, in the same read, or is made up when the connection
   * ends in an answer, tells nothing.
   */
  protected final void onSurplusBytes() {
    if (!channel.isOpen()) {
      return;
    }
    host.onSurplusBytes();
    if (unused) {
      pool.onSurplusBytes(System.nanoTime() - ReadLagTracker.lagNanos() - since);
    }
    channel.close();
  }

  /** Writes the attempt; the last moment at which it can be held back has passed. */
  final void send(Attempt next) {
    writtenAt = System.nanoTime();
    idleFor = since == 0 ? 0 : writtenAt - since;
    attempt = next;
    unused = false;
    carried++;
    written = false;
    prepareForAttempt();
    next.onAttached(this);
    next.write(channel)
        .addListener(
            f -> {
              if (attempt == next) {
                if (f.isSuccess()) {
                  written = true;
                } else {
                  onConnectionLost();
                }
              }
            });
    next.onWriteStarted();
  }

  /** An attempt is about to be written: what was read for the one before is of no account. */
  protected abstract void prepareForAttempt();

  /** Whether anything of an answer to the present attempt has come. */
  protected abstract boolean hasResponseBytes();

  /** The answer has been read to its end; {@code keep} tells that nothing speaks against reuse. */
  protected final void onResponseComplete(boolean keep) {
    attempt = null;
    channel.config().setAutoRead(true);
    if (keep && channel.isActive() && isReusable() && carried < pool.maxRequestsPerConnection()) {
      since = System.nanoTime();
      unused = true;
      pool.onConnectionIdle(host, this);
    } else {
      channel.close();
    }
  }

  /** The attempt needs no more of its answer; the rest may be read on if that is worth it. */
  protected final void detach(boolean readOn) {
    attempt = null;
    since = System.nanoTime();
    if (readOn) {
      pool.onDiscardStarted(this);
    } else {
      channel.close();
    }
  }

  /** Gives the attempt up: nothing that comes later may reach another one. */
  final void abort(Attempt given) {
    if (attempt == given) {
      attempt = null;
      channel.close();
    }
  }

  /** Ends the connection, and with it the attempt that it carries. */
  protected final void onConnectionLost() {
    Attempt ended = attempt;
    boolean sent = written;
    attempt = null;
    channel.close();
    if (ended != null) {
      long now = System.nanoTime();
      if (idleFor > 0 && !hasResponseBytes() && now - writtenAt < AT_ONCE_NANOS) {
        host.onIdleConnectionDead(idleFor, now);
      }
      if (sent) {
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
