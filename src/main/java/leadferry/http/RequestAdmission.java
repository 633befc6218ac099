package leadferry.http;

import io.netty.handler.codec.http.HttpRequest;
import leadferry.engine.Dispatcher;

/** Whether a request that is to be forwarded may enter the engine now. */
final class RequestAdmission {
  /** Whether a whole request is admitted, or why not. */
  enum Decision {
    ADMITTED,
    /** Its client has gone; the connection is closed. */
    CLIENT_GONE,
    /** Another request with the same id is open: its response could be taken for this one's. */
    DUPLICATE_ID,
    /** The pool, or the process, has as many requests open as it may. */
    POOL_FULL
  }

  private final ClientConnection client;
  private final HttpServer server;
  private String claimedId;

  RequestAdmission(ClientConnection client, HttpServer server) {
    this.client = client;
    this.server = server;
  }

  /**
   * Decides on a request that has come whole; {@code first} tells whether it is its connection's
   * first. Its id stays claimed until {@link #releaseId}.
   */
  Decision decide(HttpRequest request, Dispatcher pool, boolean first) {
    if ((first || !server.settings().daemon()) && client.closeIfDisconnected()) {
      return Decision.CLIENT_GONE;
    }
    if (!claimId(request)) {
      return Decision.DUPLICATE_ID;
    }
    return isPoolFull(pool) ? Decision.POOL_FULL : Decision.ADMITTED;
  }

  /** Decides on a request whose body is still to come. */
  Decision decideStreamed(HttpRequest request, Dispatcher pool) {
    if (isPoolFull(pool)) {
      return Decision.POOL_FULL;
    }
    return claimId(request) ? Decision.ADMITTED : Decision.DUPLICATE_ID;
  }

  /** Claims the request's id where it must be the only one that is open; false if it is not. */
  private boolean claimId(HttpRequest request) {
    if (!server.settings().requiresUniqueIds()) {
      return true;
    }
    String id = request.headers().get("X-Request-ID");
    if (!server.claimRequestId(id)) {
      return false;
    }
    claimedId = id;
    return true;
  }

  /** The request has its response, or never gets one. */
  void releaseId() {
    if (claimedId != null) {
      server.releaseRequestId(claimedId);
      claimedId = null;
    }
  }

  private boolean isPoolFull(Dispatcher pool) {
    if (pool.openRequests() < server.settings().maxOpenRequests() && server.hasUpstreamCapacity()) {
      return false;
    }
    server.recordSocketRejection();
    return true;
  }
}
