package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import leadferry.engine.Body;
import leadferry.engine.BodyBudget;
import leadferry.engine.Dispatcher;

/**
 * The body of a request that goes on to a host while it comes from its client.
 *
 * <p>What has come is kept while all of it fits the replay bound, so that a further attempt can be
 * sent the whole of it. With the first byte past that, once an attempt takes the body, it is let
 * go: from then on no other attempt can be sent. Memory is bounded by the replay bound, one read,
 * and the marks of the host's socket: the client is read from only while somebody takes what it
 * sends.
 *
 * <pre>
 *   client  --bytes--> [ kept, at most REPLAY ] --> attempt 1 ... ends
 *                                     +---------->  attempt 2       (all of it again)
 *           --more---> let go ------------------->  attempt 2, the last one
 * </pre>
 */
final class RequestBodyUpload {
  /** Bytes of a body that are kept for another attempt. */
  static final int MAX_REPLAY_BYTES = 64 * 1024;

  /** What one read may bring past the bound before the client is held. */
  private static final int MAX_READ_BYTES = 16 * 1024;

  private final RequestIntake client;
  private final BodyBudget budget;
  private final Body replayBuffer;
  private HttpAttempt currentAttempt;
  private HttpHeaders trailers;
  private boolean replayable = true;
  private long receivedBytes;
  private long lastReceivedNanos = System.nanoTime();
  private boolean readingPaused;

  /** A body of which {@code come} has come already, or null; it is this upload's now. */
  RequestBodyUpload(RequestIntake client, Dispatcher pool, Body receivedBody, BodyBudget budget) {
    this.client = client;
    this.budget = budget;
    this.replayBuffer = receivedBody == null ? pool.newBody(-1, true) : receivedBody;
    this.receivedBytes = replayBuffer.size();
  }

  /** Bytes that have come. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Part of the body; the bytes stay the caller's. */
  void onContent(ByteBuf bytes) {
    lastReceivedNanos = System.nanoTime();
    receivedBytes += bytes.readableBytes();
    ByteBuf part = bytes.retainedDuplicate();
    if (replayable) {
      replayBuffer.append(bytes);
      if (currentAttempt != null
          && (receivedBytes > MAX_REPLAY_BYTES || budget.isFull(receivedBytes))) {
        discardReplayBuffer();
      }
    }
    if (currentAttempt != null) {
      currentAttempt.writeUploadContent(part);
    } else {
      part.release();
    }
    updateFlowControl();
  }

  /** Its end has come, with these trailers. */
  void onEnd(HttpHeaders receivedTrailers) {
    trailers = receivedTrailers;
    replayBuffer.onRequestComplete();
    if (currentAttempt != null) {
      currentAttempt.writeUploadEnd(receivedTrailers);
    }
  }

  boolean isComplete() {
    return trailers != null;
  }

  /** Whether another attempt can be sent all of it now: one at a time takes the body. */
  boolean isReplayable() {
    return replayable && currentAttempt == null;
  }

  /** An attempt takes the body, from its first byte on; its head has been written. */
  void attach(HttpAttempt attempt) {
    currentAttempt = attempt;
    for (ByteBuf block : replayBuffer.retainedBlocks()) {
      attempt.writeUploadContent(block);
    }
    if (receivedBytes > MAX_REPLAY_BYTES) {
      discardReplayBuffer();
    }
    if (trailers != null) {
      attempt.writeUploadEnd(trailers);
    }
    updateFlowControl();
  }

  /** That attempt is over. */
  void detach(HttpAttempt attempt) {
    if (currentAttempt == attempt) {
      currentAttempt = null;
      updateFlowControl();
    }
  }

  /** Reads on from the client only while what it sends has somewhere to go. */
  void updateFlowControl() {
    boolean hasCapacity =
        currentAttempt != null
            ? currentAttempt.isUpstreamWritable()
            : replayable && receivedBytes <= MAX_REPLAY_BYTES - MAX_READ_BYTES;
    readingPaused = !hasCapacity;
    client.setReading(hasCapacity);
  }

  /** Whether the client has been waited for in vain for so long (ns). */
  boolean isStalled(long nowNanos, long timeoutNanos) {
    return trailers == null && !readingPaused && nowNanos - lastReceivedNanos > timeoutNanos;
  }

  private void discardReplayBuffer() {
    replayable = false;
    replayBuffer.release();
  }

  void free() {
    replayable = false;
    replayBuffer.release();
  }
}
