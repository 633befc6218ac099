package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.LoadReport;

/**
 * Sends a request to one host and ends with exactly one outcome. The subclass of a protocol writes
 * the request and reads the response; this class decides from the bytes written whether the host
 * may have run the request.
 */
public abstract class Attempt {
  /**
   * Time (ms) for which a response that has begun may go on after the request's deadline without
   * any proof that it is still being written. The request must end within 500 ms of its deadline.
   */
  protected static final long OVERDUE_GRACE_MILLIS = 400;

  private static final double NANOS_PER_MILLI = 1e6;

  protected final Exchange exchange;
  final UpstreamHost host;
  private final Dispatcher dispatcher;
  private final int number;
  private double sentAt;
  private boolean isResponding;
  private double repeatWindowMillis;
  private double firstByteSentAt;
  private AttemptPhase phase = AttemptPhase.CREATED;
  private Channel connecting;
  private UpstreamConnection connection;

  /** Creates an attempt; {@code sentAt} is a time (ms) on the load balancer's clock. */
  protected Attempt(Exchange exchange, UpstreamHost host, int number, double sentAt) {
    this.exchange = exchange;
    this.dispatcher = exchange.dispatcher();
    this.host = host;
    this.number = number;
    this.sentAt = sentAt;
  }

  /**
   * Starts the attempt. Its first byte may be sent only while each other attempt of the request
   * that may have run was sent less than {@code windowMillis} before.
   */
  final void start(double windowMillis) {
    host.openAttempts++;
    repeatWindowMillis = windowMillis;
    dispatcher.connectionPool().start(this);
  }

  final double repeatWindowMillis() {
    return repeatWindowMillis;
  }

  /**
   * Returns the time (ms, load balancer clock) at which the first byte was sent, or 0 where none
   * was sent.
   */
  final double firstByteSentAt() {
    return firstByteSentAt;
  }

  /**
   * Whether the host may have run the attempt, or may still do so, because a started write may
   * continue until the attempt is over.
   */
  final boolean mayHaveRun() {
    return phase.mayHaveRun();
  }

  /** Ends the attempt without starting it; it never ran. */
  final void endUnstarted() {
    host.openAttempts++;
    endAsNeverRun();
  }

  final boolean isOpen() {
    return !phase.isOver();
  }

  protected final boolean isOver() {
    return phase.isOver();
  }

  final int number() {
    return number;
  }

  protected final Dispatcher dispatcher() {
    return dispatcher;
  }

  // --- implemented by the protocol

  /** Writes the whole request; the future completes when the last byte has been written. */
  protected abstract ChannelFuture write(Channel channel);

  /** Returns the load that the host reported with the response, or null. */
  protected abstract LoadReport loadReport();

  /** Whether the rest of the response is held back because the client is not reading. */
  protected boolean isWaitingForClient() {
    return false;
  }

  /**
   * Whether a response that is being sent to the client may continue, {@code overdueMillis} after
   * the request's deadline.
   */
  protected boolean canOutliveDeadline(double overdueMillis) {
    return true;
  }

  /**
   * Starts to send a response of unknown length that has begun to arrive and is held, if it may be
   * sent before it is complete.
   */
  protected void startHeldResponse() {}

  /**
   * Releases the buffered part of the response; called when the attempt is over, which ended with
   * {@code outcome}.
   */
  protected abstract void releaseResponse(AttemptOutcome outcome);

  // --- connection

  final void onConnecting(Channel channel) {
    phase = phase.connecting();
    connecting = channel;
  }

  /** Whether the attempt had to wait until a connection was established or became free. */
  final boolean hasWaited() {
    return phase.hasWaited();
  }

  /** Records that the attempt waits in its host's queue for a connection. */
  final void onQueued() {
    phase = phase.pending();
  }

  final void onAttached(UpstreamConnection newConnection) {
    if (phase == AttemptPhase.CONNECTING) {
      // The connection was established before this event was processed.
      sentAt += ReadLagTracker.lagNanos() / NANOS_PER_MILLI;
    }
    phase = phase.attached();
    connecting = null;
    connection = newConnection;
    firstByteSentAt = dispatcher.now();
  }

  /**
   * Processes the start of the write: the first bytes, as many as the kernel accepts at once, have
   * been written.
   */
  final void onWriteStarted() {
    exchange.onWriteStarted();
  }

  /**
   * Whether the write has started but the last byte has not been written; the last byte may follow
   * much later where the host reads slowly.
   */
  final boolean isPartiallyWritten() {
    return phase == AttemptPhase.ATTACHED && !connection.isFullyWritten();
  }

  /**
   * Ends the attempt as one that never ran, unless its last byte has been written or it is over.
   */
  final void endIfPartiallyWritten() {
    if (isPartiallyWritten()) {
      endAsNeverRun();
    }
  }

  protected final UpstreamConnection connection() {
    return connection;
  }

  /**
   * Claims the final response for streaming to the client. Returns true for the first claim of a
   * request only. The response of this attempt is then the final one, and if it breaks off, the
   * client must be able to see that. The caller must call {@link #onResponseStarted} once the
   * response can start.
   */
  protected final boolean claimResponse() {
    isResponding = exchange.claim();
    return isResponding;
  }

  /**
   * Notifies the load balancer that the response has started; the notification may end other
   * attempts, and this one, before this method returns.
   */
  protected final void onResponseStarted() {
    exchange.onResponseStarted(number, dispatcher.now() - sentAt);
  }

  /** Whether this attempt has claimed the response to the client. */
  final boolean isResponding() {
    return isResponding;
  }

  /**
   * Restarts the time that is charged to the host. Called when the last byte of a request that the
   * client sent slowly has been sent to the host.
   */
  protected final void onLastByteSent() {
    sentAt = dispatcher.now();
  }

  /**
   * Whether the last byte has been written and may have reached the host. No other check decides
   * this.
   */
  protected final boolean isFullyWritten() {
    return connection != null && connection.isFullyWritten();
  }

  /**
   * Ends the use of the connection. Closes the connection unless the response has been read to its
   * end.
   */
  final void releaseConnection() {
    if (connecting != null) {
      connecting.close();
      connecting = null;
    }
    if (connection != null) {
      connection.abort(this);
    }
  }

  // --- end

  /**
   * Ends the attempt as a failed connect: no connection was established, or it broke before the
   * last byte was written.
   */
  final void endAsConnectFailed() {
    finish(AttemptOutcome.CONNECT_FAILED);
  }

  /**
   * Whether the attempt is still needed and may be sent to its host. Checked when its connection is
   * ready, the last point at which the attempt can be held back.
   */
  final boolean canSend() {
    return exchange.canSend(this);
  }

  /**
   * Ends an attempt that must not continue and whose last byte has not been written; it never ran.
   */
  final void endAsNeverRun() {
    finish(AttemptOutcome.MOOT);
  }

  /**
   * Ends the attempt at the request's deadline. An attempt that was not fully written never ran,
   * whatever it waited for.
   */
  final void onDeadline() {
    if (!isFullyWritten()) {
      finish(AttemptOutcome.MOOT);
    } else {
      finish(isWaitingForClient() ? AttemptOutcome.CANCELLED : AttemptOutcome.TIMEOUT);
    }
  }

  final void cancel() {
    finish(isFullyWritten() ? AttemptOutcome.CANCELLED : AttemptOutcome.MOOT);
  }

  /**
   * Ends an attempt that was fully written and whose connection broke or whose response is
   * malformed.
   */
  protected void onConnectionBroken() {
    finish(AttemptOutcome.RESET);
  }

  /** Ends the attempt with this outcome; has no effect where it is over. */
  protected final void finish(AttemptOutcome outcome) {
    if (phase.isOver()) {
      return;
    }
    phase = phase.ended(outcome);
    host.openAttempts--;
    releaseResponse(outcome);
    dispatcher.connectionPool().onAttemptEnded(this);
    exchange.onAttemptEnded(this, outcome, dispatcher.now() - sentAt, loadReport());
  }
}
