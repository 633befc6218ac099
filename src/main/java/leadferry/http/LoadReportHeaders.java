package leadferry.http;

import leadferry.loadbalancer.LoadReport;

/** Parses load reports such as {@code inflight=7,queue=2,util=0.61}; unknown fields are skipped. */
final class LoadReportHeaders {
  static final String HEADER = "X-Server-Load";

  /**
   * Maximum value of a field, which no upstream host exceeds. Guards against a value that would
   * dominate every average.
   */
  private static final double MAX_VALUE = 1e6;

  /** Number of fields in a report. */
  private static final int FIELD_COUNT = 6;

  /** Maximum number of pairs that are parsed. */
  private static final int MAX_PAIRS = 16;

  private LoadReportHeaders() {}

  /**
   * Returns the report in {@code text}, or null if the text is null, holds no known field or has an
   * invalid value.
   */
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
          return null; // one invalid value makes the others untrustworthy
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
