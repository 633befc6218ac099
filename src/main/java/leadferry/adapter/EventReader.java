package leadferry.adapter;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.EndpointUpdate;
import leadferry.loadbalancer.LoadReport;
import leadferry.loadbalancer.RequestArrival;
import leadferry.loadbalancer.RequestPolicy;

/**
 * Reads the fields of the simulator's events. This is the only class that maps the fields to the
 * terms of the load balancer; {@link WireEvent} maps the names of the events.
 *
 * <pre>
 *   txn     request          sendNo  attempt          host    endpoint
 *   class   request class    org     tenant           resent  repeat
 *   hall    zone             model   machine kind     group   cell
 *   rif, q, busy, lat_ms, rate, fail_rate             load report
 *   how     endpoint list event                       reason  attempt outcome
 * </pre>
 */
final class EventReader {
  private static final String[] LOAD_FIGURES = {"rif", "q", "busy", "lat_ms", "rate", "fail_rate"};

  private final LineReader lines;
  private final WireLine line = new WireLine();
  private final Map<Long, List<EndpointUpdate>> endpointBuffers = new HashMap<>();

  EventReader(LineReader lines) {
    this.lines = lines;
  }

  /** Reads the next line. Returns false at the end of the input. */
  boolean next() throws IOException {
    return lines.next(line);
  }

  /** Returns the event of the current line. */
  WireEvent event() {
    return WireEvent.of(line);
  }

  /** Returns an exception that quotes the current line. */
  MalformedInputException malformed(String reason) {
    return line.malformed(reason);
  }

  String eventName() {
    return line.name();
  }

  double nowMillis() {
    return line.decimal("wall");
  }

  long instance() {
    return line.number("who");
  }

  /**
   * Returns the number of the instance, or 0 if the current line has none. For use in error
   * messages.
   */
  long instanceOrZero() {
    return line.number("who", 0);
  }

  String settings() {
    return line.string("conf");
  }

  long seed() {
    return line.number("prng");
  }

  long request() {
    return line.number("txn");
  }

  int attempt() {
    return (int) line.number("sendNo");
  }

  long endpoint() {
    return line.number("host");
  }

  double spentMillis() {
    return line.decimal("spent", 0);
  }

  /** Returns whether the request is over with this outcome or was over before. */
  boolean isRequestOver() {
    return line.isSet("terminal");
  }

  long timerToken() {
    return line.number("token");
  }

  /** Returns the index of the proxy that sent the message. */
  int senderIndex() {
    return (int) line.number("from");
  }

  /** Returns the bytes of the message. */
  byte[] message() {
    try {
      return Base64.getDecoder().decode(line.string("raw", ""));
    } catch (IllegalArgumentException e) {
      throw line.malformed("field 'raw' is not valid base64");
    }
  }

  String requestClass() {
    return line.string("class");
  }

  double budgetMillis() {
    return line.decimal("budget");
  }

  /** Returns the arrival: the given values, and the optional fields of the current line. */
  RequestArrival arrival(long request, RequestPolicy policy, double budgetMillis) {
    return new RequestArrival(
        request,
        policy,
        line.string("org", null),
        budgetMillis,
        line.decimal("estimate", Double.NaN),
        line.isSet("resent"));
  }

  /**
   * Returns the outcome that the code in the field {@code reason} states, or null if the code is
   * unknown.
   */
  AttemptOutcome outcome() {
    return switch ((int) line.number("reason")) {
      case 1 -> AttemptOutcome.OK;
      case 2 -> AttemptOutcome.ERROR;
      case 3 -> AttemptOutcome.FULL;
      case 4 -> AttemptOutcome.TIMEOUT;
      case 5 -> AttemptOutcome.CONNECT_FAILED;
      case 6 -> AttemptOutcome.RESET;
      case 7 -> AttemptOutcome.CANCELLED;
      case 8 -> AttemptOutcome.MOOT;
      default -> null;
    };
  }

  /** Returns the load report of the current line, or null if there is none. */
  LoadReport loadReport() {
    double[] figures = line.figures("load", LOAD_FIGURES);
    return figures == null
        ? null
        : new LoadReport(figures[0], figures[1], figures[2], figures[3], figures[4], figures[5]);
  }

  /** Returns the kind of the endpoint list event, or null if the kind is unknown. */
  EndpointListEvent endpointListEvent() {
    return switch (line.string("how")) {
      case "delta" -> EndpointListEvent.DELTA;
      case "full" -> EndpointListEvent.FULL;
      case "cached" -> EndpointListEvent.CACHED;
      case "failed" -> EndpointListEvent.FAILED;
      default -> null;
    };
  }

  /**
   * Returns the endpoint entries stored under the number in the field {@code buffer} of the current
   * line.
   */
  List<EndpointUpdate> endpointUpdates() {
    List<EndpointUpdate> updates = endpointBuffers.get(line.number("buffer"));
    if (updates == null) {
      throw line.malformed(
          "field 'buffer': unknown number (expected: the number of an earlier 'ledger')");
    }
    return updates;
  }

  /**
   * Reads the {@code host} lines that follow the current {@code ledger} line. Stores them as
   * endpoint entries under the number in the field {@code buffer} of the {@code ledger} line.
   */
  void readEndpointBuffer() throws IOException {
    long buffer = line.number("buffer");
    long records = line.number("records");
    List<EndpointUpdate> updates = new ArrayList<>();
    for (long i = 0; i < records; i++) {
      if (!next()) {
        throw new MalformedInputException("input ends in the middle of a ledger");
      }
      if (event() != WireEvent.ENDPOINT_ENTRY) {
        throw line.malformed("ledger has fewer 'host' lines than its 'records' field states");
      }
      updates.add(endpointUpdate());
    }
    endpointBuffers.put(buffer, updates);
  }

  private EndpointUpdate endpointUpdate() {
    return new EndpointUpdate(
        line.number("host"),
        line.string("hall", ""),
        line.string("model", ""),
        line.number("group", 0),
        condition(line.string("condition", "Ready")),
        line.decimal("capacityHint", 1),
        line.decimal("onlineSince", 0));
  }

  private static EndpointUpdate.Condition condition(String word) {
    return switch (word) {
      case "Ready" -> EndpointUpdate.Condition.READY;
      case "Gone" -> EndpointUpdate.Condition.GONE;
      default -> EndpointUpdate.Condition.TERMINATING; // an unknown condition gets no new requests
    };
  }
}
