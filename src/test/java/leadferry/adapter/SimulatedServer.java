package leadferry.adapter;

import java.util.ArrayList;
import java.util.List;

/** A server of the simulated deployment. */
final class SimulatedServer {
  /** Mean response time of a server that sends no responses. */
  static final double SILENT = 1e9;

  /** Marks a server that responds with errors. */
  static final double FAILING = -1;

  /** Marks a server that accepts no connections. */
  static final double UNREACHABLE = -2;

  /** Requests that a server may hold before it rejects further ones. */
  private static final int MAX_HELD_REQUESTS = 6;

  private static final double WARM_UP_MILLIS = 2_000;

  final long id;
  final String zone;
  final long cell;
  double onlineSinceMillis;
  String condition = "Ready";
  double meanMillis;
  int heldRequests;

  private SimulatedServer(long id, String zone, long cell, double meanMillis) {
    this.id = id;
    this.zone = zone;
    this.cell = cell;
    this.meanMillis = meanMillis;
  }

  /** Returns the initial servers, in two zones and four cells. */
  static List<SimulatedServer> createInitial() {
    List<SimulatedServer> servers = new ArrayList<>();
    for (int i = 0; i < 14; i++) {
      servers.add(
          new SimulatedServer(7_000 + 13L * i, i % 2 == 0 ? "z1" : "z2", i / 4, 8 + 4 * (i % 3)));
    }
    return servers;
  }

  /** Returns a server that has just started. */
  static SimulatedServer createStarted(double nowMillis) {
    SimulatedServer server = new SimulatedServer(9_001, "z1", 9, 9);
    server.onlineSinceMillis = nowMillis;
    return server;
  }

  /** Makes a server that serves requests six times slower. */
  void slowDown() {
    meanMillis = meanMillis > 0 ? 6 * meanMillis : meanMillis;
  }

  /** Ends the overload and every other fault of the server. */
  void recover() {
    meanMillis = meanMillis > 0 && meanMillis < SILENT ? meanMillis / 6 : 10;
  }

  /** Returns the factor by which the server is slower than a warm one. */
  double slowness(double nowMillis) {
    return onlineSinceMillis > 0 && nowMillis - onlineSinceMillis < WARM_UP_MILLIS ? 2 : 1;
  }

  boolean isFull() {
    return heldRequests > MAX_HELD_REQUESTS;
  }

  /** Returns the entry of the server in an endpoint list, in the wire format. */
  String endpointEntry() {
    return "host host="
        + id
        + " hall="
        + zone
        + " model=m"
        + id % 2
        + " group="
        + cell
        + " condition="
        + condition
        + " capacityHint=1"
        + (onlineSinceMillis > 0 ? " onlineSince=" + onlineSinceMillis : "");
  }

  /** Returns the load report of the server, in the wire format. */
  String loadReport() {
    return "rif:"
        + heldRequests
        + ",q:"
        + Math.max(0, heldRequests - 3)
        + ",busy:0."
        + Math.min(9, heldRequests)
        + ",lat_ms:"
        + (meanMillis > 0 && meanMillis < 1e6 ? Math.round(meanMillis) : 5)
        + ",rate:40,fail_rate:0.5";
  }
}
