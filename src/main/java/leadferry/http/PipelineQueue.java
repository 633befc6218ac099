package leadferry.http;

import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * Requests that a client sent ahead of a response (RFC 9112, 9.3.2). They are taken one after the
 * other, so their responses go out in order by themselves. Bounded by number of requests, and in
 * bytes by one read, since none follows until the queue is empty.
 *
 * <p>Used on the connection's event loop alone.
 */
final class PipelineQueue {
  /** Part of a request that came while another was open, and when (ns). */
  private record QueuedPart(HttpObject part, long receivedAtNanos) {}

  private final ClientConnection connection;
  private final SocketChannel channel;
  private final RequestDecoder decoder;
  private final RequestIntake intake;
  private final int maxQueuedRequests;
  private final ArrayDeque<QueuedPart> parts = new ArrayDeque<>(0);
  private int wholeRequests;
  private boolean drainScheduled;

  /** A queue that has the decoder stop once it holds {@code maxQueuedRequests} whole requests. */
  PipelineQueue(
      ClientConnection connection,
      SocketChannel channel,
      RequestDecoder decoder,
      RequestIntake intake,
      int maxQueuedRequests) {
    this.connection = connection;
    this.channel = channel;
    this.decoder = decoder;
    this.intake = intake;
    this.maxQueuedRequests = maxQueuedRequests;
  }

  boolean isEmpty() {
    return parts.isEmpty();
  }

  /** Whether a whole request waits. */
  boolean hasWholeRequest() {
    return wholeRequests > 0;
  }

  /** Keeps part of a request that came at {@code receivedAtNanos}, and reads no further. */
  void add(HttpObject part, long receivedAtNanos) {
    channel.config().setAutoRead(false);
    parts.add(new QueuedPart(ReferenceCountUtil.retain(part), receivedAtNanos));
    if (part instanceof LastHttpContent && ++wholeRequests >= maxQueuedRequests) {
      decoder.pause();
    }
  }

  /** A response has gone: takes the next request, on the loop's next turn. */
  void scheduleDrain() {
    if (!drainScheduled
        && (!parts.isEmpty() || decoder.isPaused() || !channel.config().isAutoRead())) {
      drainScheduled = true;
      channel.eventLoop().execute(this::drain);
    }
  }

  private void drain() {
    drainScheduled = false;
    processQueuedParts();
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
        && (next = parts.poll()) != null) {
      if (next.part() instanceof LastHttpContent) {
        wholeRequests--;
      }
      try {
        intake.onPart(next.part(), next.receivedAtNanos());
      } finally {
        ReferenceCountUtil.release(next.part());
      }
    }
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

  /** Releases all parts: none of them is taken any more. */
  void clear() {
    QueuedPart next;
    while ((next = parts.poll()) != null) {
      ReferenceCountUtil.release(next.part());
    }
    wholeRequests = 0;
  }
}
