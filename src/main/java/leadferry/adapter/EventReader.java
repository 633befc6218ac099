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

/**
 * Reads the fields of the simulator's events. The one place that maps them to the load balancer's
 * terms; {@link WireEvent} maps the events' names.
 *
 * <pre>
 *   txn     request          sendNo  attempt          host    endpoint
 *   class   request class    org     tenant           resent  repeat
 *   hall    zone             model   kind             group   cell
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

  /** Goes to the next line; false at the end of the input. */
  boolean next() throws IOException {
    return lines.next(line);
  }

  /** What the line is. */
  WireEvent event() {
    return WireEvent.of(line);
  }

  /** An error about the line. */
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

  /** The same for an error message, where the line may lack it. */
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

  /** Whether the request is over with this outcome, or was before. */
  boolean isRequestOver() {
    return line.isSet("terminal");
  }

  long timerToken() {
    return line.number("token");
  }

  /** Number of the proxy that a message comes from. */
  int senderIndex() {
    return (int) line.number("from");
  }

  /** The bytes of a message. */
  byte[] message() {
    try {
      return Base64.getDecoder().decode(line.string("raw", ""));
    } catch (IllegalArgumentException e) {
      throw line.malformed("field 'raw' is not base64");
    }
  }

  String requestClass() {
    return line.string("class");
  }

  double budgetMillis() {
    return line.decimal("budget");
  }

  /** The request, by what has been read of it and the fields that may be absent. */
  RequestArrival arrival(long request, String className, double budgetMillis) {
    return new RequestArrival(
        request,
        className,
        line.string("org", null),
        budgetMillis,
        line.decimal("estimate", Double.NaN),
        line.isSet("resent"));
  }

  /** The outcome, or null where the reason is not known. */
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

  /** The load report, or null where there is none. */
  LoadReport loadReport() {
    double[] figures = line.figures("load", LOAD_FIGURES);
    return figures == null
        ? null
        : new LoadReport(figures[0], figures[1], figures[2], figures[3], figures[4], figures[5]);
  }

  /** The kind of an endpoint list, or null where it is not known. */
  EndpointListEvent endpointListEvent() {
    return switch (line.string("how")) {
      case "delta" -> EndpointListEvent.DELTA;
      case "full" -> EndpointListEvent.FULL;
      case "cached" -> EndpointListEvent.CACHED;
      case "failed" -> EndpointListEvent.FAILED;
      default -> null;
    };
  }

  /** The entries of the buffer that the line names. */
  List<EndpointUpdate> endpointUpdates() {
    List<EndpointUpdate> updates = endpointBuffers.get(line.number("buffer"));
    if (updates == null) {
      throw line.malformed("no ledger with this number has come");
    }
    return updates;
  }

  /** Reads the entries that follow the line, and keeps them. */
  void readEndpointBuffer() throws IOException {
    long buffer = line.number("buffer");
    long records = line.number("records");
    List<EndpointUpdate> updates = new ArrayList<>();
    for (long i = 0; i < records; i++) {
      if (!next()) {
        throw new MalformedInputException("the input ends in the middle of a ledger");
      }
      if (event() != WireEvent.ENDPOINT_ENTRY) {
        throw line.malformed("a ledger has fewer 'host' lines than it says");
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
      default -> EndpointUpdate.Condition.TERMINATING; // nothing new goes to a state not known
    };
  }
}
