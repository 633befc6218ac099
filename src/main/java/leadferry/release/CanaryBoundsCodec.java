package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Maps {@link CanaryAnalysis.Bounds} to and from key {@code guard} of a plan. */
final class CanaryBoundsCodec {
  private static final double DEFAULT_MAX_BAD_SHARE_INCREASE = 0.02;
  private static final double DEFAULT_MAX_BAD_SHARE = 0.05;
  private static final double DEFAULT_STANDARD_ERRORS = 3;
  private static final double MIN_STANDARD_ERRORS = 0.5;
  private static final double MAX_STANDARD_ERRORS = 10;
  private static final long DEFAULT_WAIT_MILLIS = 60_000;

  private CanaryBoundsCodec() {}

  static void write(CanaryAnalysis.Bounds bounds, ObjectNode json) {
    json.put("least_requests", bounds.minRequests())
        .put("max_worse", bounds.maxBadShareIncrease())
        .put("max_bad", bounds.maxBadShare())
        .put("sigmas", bounds.standardErrors())
        .put("wait_ms", bounds.waitMillis());
  }

  /** Reads the bounds and adds to {@code errors} if one of them is out of range. */
  static CanaryAnalysis.Bounds read(JsonNode json, List<String> errors) {
    CanaryAnalysis.Bounds bounds =
        new CanaryAnalysis.Bounds(
            json.path("least_requests").asInt(0),
            json.path("max_worse").asDouble(DEFAULT_MAX_BAD_SHARE_INCREASE),
            json.path("max_bad").asDouble(DEFAULT_MAX_BAD_SHARE),
            json.path("sigmas").asDouble(DEFAULT_STANDARD_ERRORS),
            json.path("wait_ms").asLong(DEFAULT_WAIT_MILLIS));
    boolean valid =
        bounds.minRequests() >= 0
            && !isOutsideZeroToOne(bounds.maxBadShareIncrease())
            && !isOutsideZeroToOne(bounds.maxBadShare())
            && bounds.standardErrors() >= MIN_STANDARD_ERRORS
            && bounds.standardErrors() <= MAX_STANDARD_ERRORS
            && bounds.waitMillis() >= 0;
    if (!valid) {
      errors.add(
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
