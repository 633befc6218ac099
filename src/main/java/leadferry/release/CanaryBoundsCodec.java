package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Maps {@link CanaryAnalysis.Bounds} to and from a plan's {@code guard}. */
final class CanaryBoundsCodec {
  private static final double DEFAULT_MAX_WORSE = 0.02;
  private static final double DEFAULT_MAX_BAD = 0.05;
  private static final double DEFAULT_SIGMAS = 3;
  private static final double MIN_SIGMAS = 0.5;
  private static final double MAX_SIGMAS = 10;
  private static final long DEFAULT_WAIT_MILLIS = 60_000;

  private CanaryBoundsCodec() {}

  static void write(CanaryAnalysis.Bounds bounds, ObjectNode json) {
    json.put("least_requests", bounds.minRequests())
        .put("max_worse", bounds.maxWorse())
        .put("max_bad", bounds.maxBad())
        .put("sigmas", bounds.sigmas())
        .put("wait_ms", bounds.waitMillis());
  }

  /** Reads the bounds; adds to {@code faults} where one is out of its range. */
  static CanaryAnalysis.Bounds read(JsonNode json, List<String> faults) {
    CanaryAnalysis.Bounds bounds =
        new CanaryAnalysis.Bounds(
            json.path("least_requests").asInt(0),
            json.path("max_worse").asDouble(DEFAULT_MAX_WORSE),
            json.path("max_bad").asDouble(DEFAULT_MAX_BAD),
            json.path("sigmas").asDouble(DEFAULT_SIGMAS),
            json.path("wait_ms").asLong(DEFAULT_WAIT_MILLIS));
    boolean valid =
        bounds.minRequests() >= 0
            && !isOutsideZeroToOne(bounds.maxWorse())
            && !isOutsideZeroToOne(bounds.maxBad())
            && bounds.sigmas() >= MIN_SIGMAS
            && bounds.sigmas() <= MAX_SIGMAS
            && bounds.waitMillis() >= 0;
    if (!valid) {
      faults.add(
          "guard: "
              + json
              + " (expected: least_requests and wait_ms of 0 or more, max_worse and max_bad from 0"
              + " to 1, sigmas from 0.5 to 10)");
    }
    return bounds;
  }

  private static boolean isOutsideZeroToOne(double share) {
    return share < 0 || share > 1;
  }
}
