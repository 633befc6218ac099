package leadferry.adapter;

import java.util.ArrayList;
import java.util.List;

/** A server of the simulated deployment. */
final class SimulatedServer {
  /** A mean response time that tells: answers nothing. */
  static final double SILENT = 1e9;

  /** A mean response time that tells: answers with errors. */
  static final double FAILING = -1;

  /** A mean response time that tells: no connection comes up. */
  static final double UNREACHABLE = -2;

  /** Requests that it holds at most; more are turned away. */
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

  /** The servers at the beginning, of two zones and four cells. */
  static List<SimulatedServer> createInitial() {
    List<SimulatedServer> servers = new ArrayList<>();
    for (int i = 0; i < 14; i++) {
      servers.add(
          new SimulatedServer(7_000 + 13L * i, i % 2 == 0 ? "z1" : "z2", i / 4, 8 + 4 * (i % 3)));
    }
    return servers;
  }

  /** One that has just come up. */
  static SimulatedServer createStarted(double nowMillis) {
    SimulatedServer server = new SimulatedServer(9_001, "z1", 9, 9);
    server.onlineSinceMillis = nowMillis;
    return server;
  }

  /** From now on it takes six times as long, if it serves at all. */
  void slowDown() {
    meanMillis = meanMillis > 0 ? 6 * meanMillis : meanMillis;
  }

  /** The overload is over, and so is what was wrong with it. */
  void recover() {
    meanMillis = meanMillis > 0 && meanMillis < SILENT ? meanMillis / 6 : 10;
  }

  /** How much longer than warm it takes. */
  double slowness(double nowMillis) {
    return onlineSinceMillis > 0 && nowMillis - onlineSinceMillis < WARM_UP_MILLIS ? 2 : 1;
  }

  boolean isFull() {
    return heldRequests > MAX_HELD_REQUESTS;
  }

  /** Its entry in an endpoint list, on the wire. */
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

  /** Its report of load, on the wire. */
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
