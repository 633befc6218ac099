package leadferry.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.LoadReport;

/**
 * One send of a request to a host; it ends with exactly one outcome. What goes out and how the
 * answer is read is its protocol's; whether it may have run is decided here, from what went out.
 */
public abstract class Attempt {
  /**
   * Longest pause (ms) of a response past the request's deadline, once it streams and is not known
   * to be long: the request must end within 500 ms of its deadline.
   */
  protected static final long STREAM_STALL_MILLIS = 400;

  private static final double NANOS_PER_MILLI = 1e6;

  protected final Exchange exchange;
  final UpstreamHost host;
  private final Dispatcher dispatcher;
  private final int number;
  private double sentAt;
  private boolean answering;
  private double apart;
  private double wroteAt;
  private AttemptPhase phase = AttemptPhase.CREATED;
  private Channel connecting;
  private UpstreamConnection connection;

  /** {@code sentAt} is the module's clock. */
  protected Attempt(Exchange exchange, UpstreamHost host, int number, double sentAt) {
    this.exchange = exchange;
    this.dispatcher = exchange.dispatcher();
    this.host = host;
    this.number = number;
    this.sentAt = sentAt;
  }

  /**
   * Starts it. When its first byte is to go out, no other of its request that may have run may have
   * gone out {@code withinMs} ago or earlier.
   */
  final void start(double withinMs) {
    host.openAttempts++;
    apart = withinMs;
    dispatcher.connectionPool().start(this);
  }

  final double repeatWindowMillis() {
    return apart;
  }

  /** When (ms on the module's clock) its first byte went out, where it did. */
  final double firstByteSentAt() {
    return wroteAt;
  }

  /**
   * Whether it may have run, or may yet: what has begun to go out may still go on, until it is
   * over.
   */
  final boolean mayHaveRun() {
    return phase.mayHaveRun();
  }

  /** Ends it before anything was done for it. */
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

  // --- the protocol's part

  /** Writes all of the request; the future is that of the last byte. */
  protected abstract ChannelFuture write(Channel channel);

  /** What the host told of its load, or null. */
  protected abstract LoadReport loadReport();

  /** Whether the rest of its answer waits for its client, who takes no more of it for now. */
  protected boolean isWaitingForClient() {
    return false;
  }

  /** Whether its answer, which has begun to go to the client, may go on past the request's time. */
  protected boolean canOutliveDeadline() {
    return true;
  }

  /** The attempt is over: gives back what was kept of its answer. */
  protected abstract void releaseResponse();

  // --- its connection

  final void onConnecting(Channel channel) {
    phase = phase.connecting();
    connecting = channel;
  }

  /** Whether its connection had to come up first, or to become free. */
  final boolean hasWaited() {
    return phase.hasWaited();
  }

  /** It stands in a queue for a connection. */
  final void onQueued() {
    phase = phase.pending();
  }

  final void onAttached(UpstreamConnection carrier) {
    if (phase == AttemptPhase.CONNECTING) {
      sentAt +=
          ReadLagTracker.lagNanos() / NANOS_PER_MILLI; // it had come up before this was heard of
    }
    phase = phase.attached();
    connecting = null;
    connection = carrier;
    wroteAt = dispatcher.now();
  }

  /** Its first byte has gone out, and what its host takes at once. */
  final void onWriteStarted() {
    exchange.onWriteStarted();
  }

  /**
   * Whether it has begun to go out, and its last byte has not: that may come much later, as its
   * host takes it.
   */
  final boolean isPartiallyWritten() {
    return phase == AttemptPhase.ATTACHED && !connection.isFullyWritten();
  }

  /** Ends it, unless its last byte has gone out or it is over. */
  final void endIfPartiallyWritten() {
    if (isPartiallyWritten()) {
      endAsNeverRun();
    }
  }

  protected final UpstreamConnection connection() {
    return connection;
  }

  /**
   * The answer is to go to the client while it still comes. True once for a request: from then on
   * its answer is this attempt's, and what breaks it off must be shown to the client as a break.
   * {@link #onResponseStarted} is owed once it can be.
   */
  protected final boolean claimResponse() {
    answering = exchange.claim();
    return answering;
  }

  /** Tells the module; it may end other attempts, and this one, before it returns. */
  protected final void onResponseStarted() {
    exchange.onResponseStarted(number, dispatcher.now() - sentAt);
  }

  /** Whether its answer has begun to go to the client. */
  final boolean isResponding() {
    return answering;
  }

  /**
   * The last byte of a request that came slowly has gone out: its time with the host counts from
   * here.
   */
  protected final void onLastByteSent() {
    sentAt = dispatcher.now();
  }

  /** Whether the last byte may have reached the host: the one place that says so. */
  protected final boolean isFullyWritten() {
    return connection != null && connection.isFullyWritten();
  }

  /** Ends the use of the connection, by closing it unless the answer has been read to its end. */
  final void releaseConnection() {
    if (connecting != null) {
      connecting.close();
      connecting = null;
    }
    if (connection != null) {
      connection.abort(this);
    }
  }

  // --- its end

  /** The last byte has not gone out: there was no connection, or it went away before. */
  final void endAsConnectFailed() {
    finish(AttemptOutcome.CONNECT_FAILED);
  }

  /**
   * Whether it is still wanted, and may go to its host: asked when its connection is ready, the
   * last moment.
   */
  final boolean canSend() {
    return exchange.canSend(this);
  }

  /** It must not go on, and its last byte has not gone out: it never ran. */
  final void endAsNeverRun() {
    finish(AttemptOutcome.MOOT);
  }

  /** Nobody waits any longer. What was not written whole never ran, whatever it waited for. */
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

  /** The connection broke, or the answer is malformed; the last byte had been written. */
  protected void onConnectionBroken() {
    finish(AttemptOutcome.RESET);
  }

  /** Ends it with this outcome; harmless if it is over. */
  protected final void finish(AttemptOutcome outcome) {
    if (phase.isOver()) {
      return;
    }
    phase = phase.ended(outcome);
    host.openAttempts--;
    releaseResponse();
    dispatcher.connectionPool().onAttemptEnded(this);
    exchange.onAttemptEnded(this, outcome, dispatcher.now() - sentAt, loadReport());
  }
}
