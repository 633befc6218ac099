package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaders;
import leadferry.engine.Body;
import leadferry.engine.BodyBudget;
import leadferry.engine.Dispatcher;
import leadferry.engine.Transport;

/**
 * Request body that is streamed to an upstream host while it arrives from the client.
 *
 * <p>Received bytes are kept while all of them fit into the replay limit, so that a further attempt
 * can send the complete body. Once an attempt is sending the body, the first byte beyond that limit
 * discards the kept bytes, and no further attempt is possible. Memory use is bounded by the replay
 * limit, one read, and the write buffer watermarks of the upstream socket: the client is read only
 * while its input can be sent or kept.
 *
 * <pre>
 *   client  --bytes--> [ kept, at most MAX_REPLAY_BYTES ] --> attempt 1 ... ends
 *                                      +--------------------> attempt 2 (all bytes again)
 *           --more---> kept bytes discarded ----------------> attempt 2, the last one
 * </pre>
 */
final class RequestBodyUpload {
  /** Maximum number of bytes that are kept for another attempt. */
  static final int MAX_REPLAY_BYTES = 64 * 1024;

  /**
   * Maximum number of bytes in one read, which may exceed the replay limit before reading from the
   * client stops.
   */
  private static final int MAX_READ_BYTES = 16 * 1024;

  private final RequestIntake client;
  private final BodyBudget budget;
  private final Transport transport;
  private final Body replayBuffer;
  private final ChunkAggregator outgoing;
  private HttpAttempt currentAttempt;
  private OutputProgress upstreamOutput;
  private HttpHeaders trailers;
  private boolean replayable = true;
  private long receivedBytes;
  private long lastReceivedNanos = System.nanoTime();
  private boolean readingPaused;
  private long pausedSinceNanos;

  /**
   * Creates an upload; takes ownership of {@code receivedBody}, the part that has arrived already,
   * or null.
   */
  RequestBodyUpload(
      RequestIntake client,
      Dispatcher pool,
      Body receivedBody,
      HttpServer server,
      ByteBufAllocator allocator) {
    this.client = client;
    this.budget = server.budget();
    this.transport = server.transport();
    this.replayBuffer = receivedBody == null ? pool.newBody(-1, true) : receivedBody;
    this.receivedBytes = replayBuffer.size();
    this.outgoing = new ChunkAggregator(allocator);
  }

  /** Returns the number of received bytes. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Handles part of the body; the caller keeps ownership of the bytes. */
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
      outgoing.add(part, currentAttempt::writeUploadContent);
    } else {
      part.release();
    }
    updateFlowControl();
  }

  /** Sends what has arrived; called when no more input is available for now. */
  void onReadComplete() {
    if (currentAttempt != null) {
      outgoing.flush(currentAttempt::writeUploadContent);
      updateFlowControl();
    }
  }

  /** Handles the end of the body and its trailers. */
  void onEnd(HttpHeaders receivedTrailers) {
    trailers = receivedTrailers;
    replayBuffer.onRequestComplete();
    if (currentAttempt != null) {
      outgoing.flush(currentAttempt::writeUploadContent);
      currentAttempt.writeUploadEnd(receivedTrailers);
    }
  }

  boolean isComplete() {
    return trailers != null;
  }

  /**
   * Whether another attempt can send the complete body now; only one attempt at a time sends it.
   */
  boolean isReplayable() {
    return replayable && currentAttempt == null;
  }

  /** Starts to send the body, from its first byte, through an attempt that has written its head. */
  void attach(HttpAttempt attempt) {
    currentAttempt = attempt;
    upstreamOutput = attempt.upstreamOutput(transport);
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

  /** Handles the end of an attempt. */
  void detach(HttpAttempt attempt) {
    if (currentAttempt == attempt) {
      currentAttempt = null;
      upstreamOutput = null;
      outgoing.clear();
      updateFlowControl();
    }
  }

  /** Reads from the client only while its input can be sent or kept. */
  void updateFlowControl() {
    boolean hasCapacity =
        currentAttempt != null
            ? currentAttempt.isUpstreamWritable()
            : replayable && receivedBytes <= MAX_REPLAY_BYTES - MAX_READ_BYTES;
    if (!hasCapacity && !readingPaused) {
      pausedSinceNanos = System.nanoTime();
    }
    readingPaused = !hasCapacity;
    client.setReading(hasCapacity);
  }

  /** Records whether the upstream host has received more of the body since the last call. */
  void updateProgress() {
    if (upstreamOutput != null) {
      upstreamOutput.update();
    }
  }

  /**
   * Returns the time (ns) for which the input could be neither sent nor kept, and the upstream host
   * has received nothing.
   */
  long pausedNanos(long nowNanos) {
    if (!readingPaused) {
      return 0;
    }
    long sinceNanos =
        upstreamOutput == null
            ? pausedSinceNanos
            : Math.max(pausedSinceNanos, upstreamOutput.progressAtNanos());
    return nowNanos - sinceNanos;
  }

  /**
   * Whether no input has arrived from the client for longer than {@code timeoutNanos} while it was
   * being read.
   */
  boolean isStalled(long nowNanos, long timeoutNanos) {
    return trailers == null && !readingPaused && nowNanos - lastReceivedNanos > timeoutNanos;
  }

  private void discardReplayBuffer() {
    replayable = false;
    replayBuffer.release();
  }

  void releaseReplayBuffer() {
    outgoing.clear();
    replayable = false;
    replayBuffer.release();
  }
}
