package leadferry.http;

import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import leadferry.engine.Transport;

/**
 * Queue of pipelined requests (RFC 9112, 9.3.2). The requests are processed one at a time, which
 * keeps their responses in order. The queue is bounded in requests by a limit, and in bytes by the
 * size of one read and by {@link #MAX_KEPT_BYTES}: nothing is read from the client until the queue
 * is empty, except to look for the end of its stream.
 *
 * <p>Used only on the connection's event loop.
 */
final class PipelineQueue {
  /** Maximum input (bytes) behind the current request that is read to find the client's end. */
  static final int MAX_KEPT_BYTES = 1 << 20;

  /**
   * Maximum number of requests of one connection that begin before other connections have their
   * turn.
   */
  private static final int MAX_REQUESTS_PER_TURN = 16;

  /** Length (ms) of the turn of the others. */
  private static final long YIELD_MILLIS = 1;

  /** Part of a request that arrived during another request, and its arrival time (ns). */
  private record QueuedPart(
      HttpObject part, long receivedAtNanos, HeadBudget.Reservation headMemory) {
    void release() {
      ReferenceCountUtil.release(part);
      headMemory.release();
    }
  }

  private final ClientConnection connection;
  private final SocketChannel channel;
  private final RequestDecoder decoder;
  private final RequestIntake intake;
  private final HeadBudget headBudget;
  private final int maxQueuedRequests;
  private final ArrayDeque<QueuedPart> parts = new ArrayDeque<>(0);
  private int completeRequests;
  private int queuedBytes;
  private boolean drainScheduled;
  private int requestsInTurn;

  /**
   * Creates a queue that pauses the decoder once it holds {@code maxQueuedRequests} complete
   * requests.
   */
  PipelineQueue(
      ClientConnection connection,
      SocketChannel channel,
      RequestDecoder decoder,
      RequestIntake intake,
      HeadBudget headBudget,
      int maxQueuedRequests) {
    this.connection = connection;
    this.channel = channel;
    this.decoder = decoder;
    this.intake = intake;
    this.headBudget = headBudget;
    this.maxQueuedRequests = maxQueuedRequests;
  }

  boolean isEmpty() {
    return parts.isEmpty();
  }

  /**
   * Whether the part begins a request that has to wait, because the client does not read its
   * responses, or because others have their turn. Guards against a flood of requests that need no
   * upstream host: its responses would fill the memory, and all others would wait. Only where
   * requests may be pipelined; elsewhere a second request in one read ends the connection.
   */
  boolean mustWait(HttpObject part) {
    if (maxQueuedRequests == 0 || !(part instanceof HttpRequest)) {
      return false;
    }
    return !channel.isWritable() || ++requestsInTurn > MAX_REQUESTS_PER_TURN;
  }

  /** Processes the end of a read: the next read has a turn of its own. */
  void onReadComplete() {
    if (parts.isEmpty()) {
      requestsInTurn = 0;
    } else if (connection.call() == null) {
      yieldTurn();
    }
  }

  private void yieldTurn() {
    if (!drainScheduled) {
      drainScheduled = true;
      channel.eventLoop().schedule(this::drain, YIELD_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Whether nothing is read from the client, so that its end is not seen either. */
  boolean isReadingPaused() {
    return !channel.config().isAutoRead();
  }

  /**
   * Checks whether the client has disconnected, also behind pipelined input. Input that has to be
   * read for this check is kept for the following requests.
   */
  Transport.ClientEnd checkClientEnd(Transport transport) {
    int keptBytes = decoder.bufferedBytes() + queuedBytes;
    boolean wasPaused = decoder.isPaused();
    // Guards against input that is decoded in the middle of the current request's admission.
    decoder.pause();
    Transport.ClientEnd end =
        transport.checkClientEndKeepingInput(channel, Math.max(0, MAX_KEPT_BYTES - keptBytes));
    if (decoder.bufferedBytes() + queuedBytes > keptBytes) {
      channel.config().setAutoRead(false);
      channel.eventLoop().execute(this::decodeKeptInput);
    } else if (!wasPaused) {
      decoder.unpause();
    }
    return end;
  }

  private void decodeKeptInput() {
    if (channel.isActive()
        && connection.acceptsRequests()
        && decoder.isInPipeline()
        && completeRequests < maxQueuedRequests) {
      resumeDecoder();
    }
    scheduleDrain();
  }

  /** Whether a complete request is queued. */
  boolean hasCompleteRequest() {
    return completeRequests > 0;
  }

  /** Queues part of a request that arrived at {@code receivedAtNanos}, and stops reading. */
  void add(HttpObject part, long receivedAtNanos) {
    channel.config().setAutoRead(false);
    HeadBudget.Reservation headMemory = headBudget.open();
    boolean hasMemory =
        !(part instanceof HttpRequest request)
            || headMemory.resize(HeadBudget.sizeOf(request.headers(), request.uri().length()));
    parts.add(new QueuedPart(ReferenceCountUtil.retain(part), receivedAtNanos, headMemory));
    queuedBytes += contentBytes(part);
    boolean isFull = part instanceof LastHttpContent && ++completeRequests >= maxQueuedRequests;
    if (isFull || !hasMemory) {
      decoder.pause();
    }
  }

  /**
   * Schedules the next request for the next iteration of the event loop; called after a response
   * was written.
   */
  void scheduleDrain() {
    if (!drainScheduled
        && (!parts.isEmpty() || decoder.isPaused() || !channel.config().isAutoRead())) {
      drainScheduled = true;
      channel.eventLoop().execute(this::drain);
    }
  }

  private void drain() {
    drainScheduled = false;
    requestsInTurn = 0;
    processQueuedParts();
    if (connection.call() == null && !parts.isEmpty() && channel.isWritable()) {
      yieldTurn();
    }
    if (!canTakeNextRequest() || !channel.isActive()) {
      return;
    }
    if (decoder.isInPipeline()) {
      resumeDecoder();
    }
    if (connection.call() == null && parts.isEmpty() && !intake.isPaused()) {
      channel.config().setAutoRead(true);
    }
  }

  private void processQueuedParts() {
    QueuedPart next;
    while (connection.call() == null
        && connection.acceptsRequests()
        && !parts.isEmpty()
        && !mustWait(parts.peek().part())) {
      next = parts.poll();
      queuedBytes -= contentBytes(next.part());
      if (next.part() instanceof LastHttpContent) {
        completeRequests--;
      }
      next.headMemory().release(); // the intake reserves its own
      try {
        intake.onPart(next.part(), next.receivedAtNanos());
      } finally {
        next.release();
      }
    }
  }

  private static int contentBytes(HttpObject part) {
    return part instanceof HttpContent content ? content.content().readableBytes() : 0;
  }

  private boolean canTakeNextRequest() {
    return connection.call() == null && parts.isEmpty() && connection.acceptsRequests();
  }

  private void resumeDecoder() {
    try {
      decoder.resume(channel.pipeline().context(decoder));
    } catch (Exception e) {
      connection.exceptionCaught(channel.pipeline().context(connection), e);
    }
  }

  /** Releases all queued parts without processing them. */
  void clear() {
    QueuedPart next;
    while ((next = parts.poll()) != null) {
      next.release();
    }
    completeRequests = 0;
    queuedBytes = 0;
  }
}
