package leadferry.http;

import leadferry.loadbalancer.LoadReport;

/** Reads load reports: {@code inflight=7,queue=2,util=0.61}; what is not known is skipped. */
final class LoadReportHeaders {
  static final String HEADER = "X-Server-Load";

  /** No host holds or does more; guards against a figure that would drown all means. */
  private static final double MAX_VALUE = 1e6;

  /** Figures of a report. */
  private static final int FIELD_COUNT = 6;

  /** Pairs that are looked at. */
  private static final int MAX_PAIRS = 16;

  private LoadReportHeaders() {}

  /** The report in {@code text}, or null where there is none or it can't be read as a whole. */
  static LoadReport parse(String text) {
    if (text == null) {
      return null;
    }
    double[] values = new double[FIELD_COUNT];
    java.util.Arrays.fill(values, Double.NaN);
    boolean anyFound = false;
    for (String pair : text.split(",", MAX_PAIRS)) {
      int equals = pair.indexOf('=');
      int field = equals < 0 ? -1 : fieldIndex(pair.substring(0, equals).trim());
      if (field >= 0) {
        try {
          double value = Double.parseDouble(pair.substring(equals + 1).trim());
          if (!(value >= 0 && value <= MAX_VALUE)) {
            return null;
          }
          values[field] = value;
          anyFound = true;
        } catch (NumberFormatException e) {
          return null; // who spoils one figure can't be trusted with the others
        }
      }
    }
    return anyFound
        ? new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5])
        : null;
  }

  private static int fieldIndex(String name) {
    return switch (name) {
      case "rif", "inflight" -> 0;
      case "q", "queue" -> 1;
      case "busy", "util" -> 2;
      case "lat_ms", "latency_ms" -> 3;
      case "rate", "qps" -> 4;
      case "fail_rate", "eps" -> 5;
      default -> -1;
    };
  }
}
