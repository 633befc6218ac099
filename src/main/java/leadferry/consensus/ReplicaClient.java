package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Sends requests to the leading replica. Follows redirects, and tries the next replica if one does
 * not respond. For use by one thread.
 *
 * <p>Every request may be sent more than once. Each entry carries a call id, an incarnation, or a
 * session with a report number, so that a repeated entry takes effect only once.
 */
public final class ReplicaClient implements AutoCloseable {
  /** Time limit for connecting to one replica before the next one is tried. */
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** Time limit for the response of one replica. */
  private static final int RESPONSE_TIMEOUT_MILLIS = 1_500;

  private static final int RETRY_DELAY_MILLIS = 50;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Thrown if no leading replica responded before the deadline. The call may succeed if it is
   * repeated.
   */
  public static final class UnreachableException extends Exception {
    private static final long serialVersionUID = 1;

    /** Whether the request was sent at least once and may therefore have been carried out. */
    public final boolean requestSent;

    UnreachableException(boolean requestSent, String message) {
      super(message);
      this.requestSent = requestSent;
    }
  }

  private final String fleet;
  private final Map<String, InetSocketAddress> addresses;
  private final List<String> replicaNames;
  private final Consumer<ObjectNode> pushListener;
  private ReplicaClientConnection connection;
  private String currentReplica;
  private int nextIndex;
  private long lastRequestId;

  /**
   * Creates a client of the replicas in {@code addresses}, by name. Messages that replicas push go
   * to {@code pushListener}.
   */
  public ReplicaClient(
      String fleet, Map<String, InetSocketAddress> addresses, Consumer<ObjectNode> pushListener) {
    this.fleet = fleet;
    this.addresses = new LinkedHashMap<>(addresses);
    this.replicaNames = new ArrayList<>(addresses.keySet());
    this.pushListener = pushListener;
    // Spreads the first connections of clients over the replicas.
    this.nextIndex = Math.floorMod(System.nanoTime() / 1_000, Math.max(1, replicaNames.size()));
  }

  /**
   * Sends a request until a response arrives.
   *
   * @param deadlineNanos time at which to give up, as a value of {@link System#nanoTime}
   * @return the response message, which has key {@code error} if the request was rejected
   * @throws UnreachableException if there is no response before the deadline
   */
  public ObjectNode call(ObjectNode request, long deadlineNanos) throws UnreachableException {
    boolean requestSent = false;
    String lastFailure = "deadline passed before the first attempt";
    while (System.nanoTime() < deadlineNanos) {
      try {
        connect(deadlineNanos);
        long id = ++lastRequestId;
        connection.send(request.put("id", id).put("fleet", fleet));
        requestSent = true;
        ObjectNode response = awaitResponse(id, deadlineNanos);
        if (response == null) {
          lastFailure = currentReplica + " did not respond";
          disconnect();
          continue;
        }
        ReplicaResponse decoded = ReplicaResponse.decode(response);
        if (decoded instanceof ReplicaResponse.Redirect redirect) {
          lastFailure = currentReplica + " does not lead";
          followRedirect(redirect);
        } else if (decoded instanceof ReplicaResponse.Undecided undecided) {
          lastFailure = currentReplica + ": " + undecided.reason();
          disconnectAndWait();
        } else {
          return response;
        }
      } catch (IOException e) {
        lastFailure = currentReplica + ": " + e.getMessage();
        disconnectAndWait();
      }
    }
    throw new UnreachableException(requestSent, lastFailure);
  }

  private ObjectNode awaitResponse(long id, long deadlineNanos) throws IOException {
    long responseDeadlineNanos =
        Math.min(deadlineNanos, System.nanoTime() + RESPONSE_TIMEOUT_MILLIS * NANOS_PER_MILLI);
    ObjectNode message;
    while ((message = connection.receive(responseDeadlineNanos)) != null) {
      if (message.has("push")) {
        pushListener.accept(message);
      } else if (message.path("id").asLong() == id) {
        return message;
      }
    }
    return null;
  }

  /** Receives pushed messages until {@code deadlineNanos}, a value of {@link System#nanoTime}. */
  public void receivePushes(long deadlineNanos) {
    try {
      while (connection != null) {
        ObjectNode message = connection.receive(deadlineNanos);
        if (message == null) {
          return;
        }
        if (message.has("push")) {
          pushListener.accept(message);
        }
      }
    } catch (IOException e) {
      disconnect();
    }
    long remainingMillis = (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
    if (remainingMillis > 0) {
      Sleep.millis(Math.min(remainingMillis, RETRY_DELAY_MILLIS));
    }
  }

  private void connect(long deadlineNanos) throws IOException {
    if (connection == null) {
      currentReplica = replicaNames.get(nextIndex);
      long remainingMillis = Math.max(1, (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI);
      connection =
          new ReplicaClientConnection(
              addresses.get(currentReplica),
              (int) Math.min(remainingMillis, CONNECT_TIMEOUT_MILLIS));
    }
  }

  private void followRedirect(ReplicaResponse.Redirect redirect) {
    disconnect();
    int leaderIndex = replicaNames.indexOf(redirect.leader());
    if (leaderIndex >= 0) {
      nextIndex = leaderIndex;
    } else {
      Sleep.millis(RETRY_DELAY_MILLIS);
    }
  }

  private void disconnectAndWait() {
    disconnect();
    Sleep.millis(RETRY_DELAY_MILLIS);
  }

  /** Closes the connection and selects the next replica for the next call. */
  private void disconnect() {
    if (connection != null) {
      connection.close();
      connection = null;
    }
    nextIndex = (replicaNames.indexOf(currentReplica) + 1) % replicaNames.size();
  }

  @Override
  public void close() {
    if (connection != null) {
      connection.close();
    }
  }
}
