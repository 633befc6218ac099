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
  static final int REPLAY = 64 * 1024;

  /** What one read may bring past the bound before the client is held. */
  private static final int READ = 16 * 1024;

  private final RequestIntake client;
  private final BodyBudget budget;
  private final Body kept;
  private HttpAttempt taker;
  private HttpHeaders trailers;
  private boolean replayable = true;
  private long received;
  private long lastAt = System.nanoTime();
  private boolean waits;

  /** A body of which {@code come} has come already, or null; it is this upload's now. */
  RequestBodyUpload(RequestIntake client, Dispatcher pool, Body come, BodyBudget budget) {
    this.client = client;
    this.budget = budget;
    this.kept = come == null ? pool.newBody(-1, true) : come;
    this.received = kept.size();
  }

  /** Bytes that have come. */
  long received() {
    return received;
  }

  /** Part of the body; the bytes stay the caller's. */
  void content(ByteBuf bytes) {
    lastAt = System.nanoTime();
    received += bytes.readableBytes();
    ByteBuf part = bytes.retainedDuplicate();
    if (replayable) {
      kept.append(bytes);
      if (taker != null && (received > REPLAY || budget.isFull(received))) {
        letGo();
      }
    }
    if (taker != null) {
      taker.upload(part);
    } else {
      part.release();
    }
    flow();
  }

  /** Its end has come, with these trailers. */
  void end(HttpHeaders with) {
    trailers = with;
    kept.onRequestComplete();
    if (taker != null) {
      taker.uploadEnds(with);
    }
  }

  boolean whole() {
    return trailers != null;
  }

  /** Whether another attempt can be sent all of it now: one at a time takes the body. */
  boolean replayable() {
    return replayable && taker == null;
  }

  /** An attempt takes the body, from its first byte on; its head has been written. */
  void startedBy(HttpAttempt attempt) {
    taker = attempt;
    for (ByteBuf block : kept.retainedBlocks()) {
      attempt.upload(block);
    }
    if (received > REPLAY) {
      letGo();
    }
    if (trailers != null) {
      attempt.uploadEnds(trailers);
    }
    flow();
  }

  /** That attempt is over. */
  void endedBy(HttpAttempt attempt) {
    if (taker == attempt) {
      taker = null;
      flow();
    }
  }

  /** Reads on from the client only while what it sends has somewhere to go. */
  void flow() {
    boolean room = taker != null ? taker.takesMore() : replayable && received <= REPLAY - READ;
    waits = !room;
    client.reading(room);
  }

  /** Whether the client has been waited for in vain for so long (ns). */
  boolean stalled(long now, long most) {
    return trailers == null && !waits && now - lastAt > most;
  }

  private void letGo() {
    replayable = false;
    kept.release();
  }

  void free() {
    replayable = false;
    kept.release();
  }
}
