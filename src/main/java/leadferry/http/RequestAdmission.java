package leadferry.http;

import io.netty.handler.codec.http.HttpRequest;
import leadferry.engine.Dispatcher;

/** Decides whether a request may enter the engine. */
final class RequestAdmission {
  /** Result of the decision. */
  enum Decision {
    ADMITTED,
    /** The client has disconnected; its connection is closed. */
    CLIENT_GONE,
    /** Another open request has the same id, so that the two responses could be confused. */
    DUPLICATE_ID,
    /** The pool or the process has reached its limit of open requests. */
    POOL_FULL
  }

  private final ClientConnection client;
  private final HttpServer server;
  private String claimedId;
  private HttpCall admittedCall;

  RequestAdmission(ClientConnection client, HttpServer server) {
    this.client = client;
    this.server = server;
  }

  /**
   * Decides on a complete request. The request's id stays claimed until {@link #releaseId}.
   *
   * @param isFirst whether this is the connection's first request
   */
  Decision decide(HttpRequest request, Dispatcher pool, boolean isFirst) {
    boolean mayHaveLeftUnseen =
        isFirst || !server.settings().daemon() || client.pipeline().isReadingPaused();
    if (mayHaveLeftUnseen && client.closeIfDisconnected()) {
      return Decision.CLIENT_GONE;
    }
    if (!claimId(request)) {
      return Decision.DUPLICATE_ID;
    }
    return isPoolFull(pool) ? Decision.POOL_FULL : Decision.ADMITTED;
  }

  /** Decides on a request whose body is streamed. */
  Decision decideStreamed(HttpRequest request, Dispatcher pool) {
    if (isPoolFull(pool)) {
      return Decision.POOL_FULL;
    }
    return claimId(request) ? Decision.ADMITTED : Decision.DUPLICATE_ID;
  }

  /**
   * Claims the id of the request if ids must be unique; returns false if another open request has
   * it.
   */
  private boolean claimId(HttpRequest request) {
    if (!server.settings().requiresUniqueIds()) {
      return true;
    }
    String id = request.headers().get("X-Request-ID");
    if (!server.requestIds().claim(id)) {
      return false;
    }
    claimedId = id;
    return true;
  }

  /** Releases the claimed id after the request has its response or was dropped. */
  void releaseId() {
    if (claimedId != null) {
      server.requestIds().release(claimedId);
      claimedId = null;
      admittedCall = null;
    }
  }

  /** Records the call of the request whose id is claimed. */
  void onCallStarted(HttpCall call) {
    admittedCall = call;
  }

  /**
   * Releases the claimed id after the client has left, unless a host may have run its request: the
   * same id would have a second effect.
   */
  void releaseIdAfterDisconnect() {
    if (claimedId != null && admittedCall != null && admittedCall.mayHaveHadEffect()) {
      server.requestIds().keepAfterDisconnect(claimedId);
      claimedId = null;
      admittedCall = null;
    }
    releaseId();
  }

  /**
   * Whether the pool or the process has reached its limit of open requests; counts and logs the
   * rejection if so.
   */
  private boolean isPoolFull(Dispatcher pool) {
    if (pool.openRequests() < server.settings().maxOpenRequests() && server.hasUpstreamCapacity()) {
      return false;
    }
    server.recordSocketRejection();
    return true;
  }
}
