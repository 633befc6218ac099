package leadferry.http;

import leadferry.loadbalancer.LoadReport;

/** Reads load reports: {@code inflight=7,queue=2,util=0.61}; what is not known is skipped. */
final class LoadReportHeaders {
  static final String HEADER = "X-Server-Load";

  /** No host holds or does more; guards against a figure that would drown all means. */
  private static final double MAX_FIGURE = 1e6;

  /** Figures of a report. */
  private static final int FIELDS = 6;

  /** Pairs that are looked at. */
  private static final int MAX_PAIRS = 16;

  private LoadReportHeaders() {}

  /** The report in {@code text}, or null where there is none or it can't be read as a whole. */
  static LoadReport read(String text) {
    if (text == null) {
      return null;
    }
    double[] figures = new double[FIELDS];
    java.util.Arrays.fill(figures, Double.NaN);
    boolean any = false;
    for (String pair : text.split(",", MAX_PAIRS)) {
      int equals = pair.indexOf('=');
      int field = equals < 0 ? -1 : field(pair.substring(0, equals).trim());
      if (field >= 0) {
        try {
          double figure = Double.parseDouble(pair.substring(equals + 1).trim());
          if (!(figure >= 0 && figure <= MAX_FIGURE)) {
            return null;
          }
          figures[field] = figure;
          any = true;
        } catch (NumberFormatException e) {
          return null; // who spoils one figure can't be trusted with the others
        }
      }
    }
    return any
        ? new LoadReport(figures[0], figures[1], figures[2], figures[3], figures[4], figures[5])
        : null;
  }

  private static int field(String name) {
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
