package leadferry.release;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import leadferry.disruption.TargetType;

/**
 * Request outcomes that members have counted since their start, assigned to the versions under
 * comparison. Targets that are out of service, warming up or stabilizing count for neither version.
 * Both versions are counted only in zones where an available target runs the new version, so that
 * they are measured under the same conditions.
 */
final class CanaryCounts {
  /** Empty counts. */
  static final CanaryCounts NONE = new CanaryCounts();

  /** Group of targets that a count belongs to. */
  enum Group {
    PREVIOUS,
    NEW_IN_THIS_STEP,
    NEW_IN_EARLIER_STEPS
  }

  /**
   * Source of a count: the member and session that counted the requests, and the endpoint that
   * served them. The endpoint is "" in a release of proxies.
   */
  private record Source(Group group, String member, String session, String endpoint) {}

  private final Map<Source, Map<String, OutcomeCount>> bySource = new LinkedHashMap<>();

  private CanaryCounts() {}

  static CanaryCounts of(ReleaseView release, MemberReports reports) {
    Map<String, ReleaseTargetView> counted = findCountedTargets(release);
    int currentStep = release.progress().currentStep();
    CanaryCounts counts = new CanaryCounts();
    reports
        .byMember()
        .forEach(
            (member, report) -> {
              if (release.plan().targetType() == TargetType.ENDPOINT) {
                report
                    .countsByEndpoint()
                    .forEach(
                        (endpoint, byClass) -> {
                          Group group = groupOf(counted.get(endpoint), currentStep);
                          counts.put(
                              new Source(group, member, report.session(), endpoint), byClass);
                        });
              } else {
                Group group = groupOf(counted.get(member), currentStep);
                counts.put(new Source(group, member, report.session(), ""), report.countsByClass());
              }
            });
    return counts;
  }

  private void put(Source source, Map<String, OutcomeCount> byClass) {
    if (source.group() != null) {
      bySource.put(source, byClass);
    }
  }

  private static Map<String, ReleaseTargetView> findCountedTargets(ReleaseView release) {
    Set<String> zones = new HashSet<>();
    for (ReleaseTargetView target : release.targets()) {
      if (target.version() == TargetVersion.NEW && target.isSettled()) {
        zones.add(target.availability().zone());
      }
    }
    Map<String, ReleaseTargetView> counted = new HashMap<>();
    for (ReleaseTargetView target : release.targets()) {
      if (target.isSettled()
          && target.version() != TargetVersion.UNKNOWN
          && zones.contains(target.availability().zone())) {
        counted.put(target.name(), target);
      }
    }
    return counted;
  }

  /** Returns the group of a target, or null if its counts are ignored. */
  private static Group groupOf(ReleaseTargetView target, int currentStep) {
    if (target == null) {
      return null;
    }
    if (target.version() == TargetVersion.PREVIOUS) {
      return Group.PREVIOUS;
    }
    return target.step() == currentStep ? Group.NEW_IN_THIS_STEP : Group.NEW_IN_EARLIER_STEPS;
  }

  /**
   * Returns the outcomes counted in the given groups since an earlier reading, by request class. If
   * the earlier reading is not empty, a {@link Source} that it lacks is ignored.
   */
  Map<String, OutcomeCount> since(CanaryCounts earlier, Set<Group> groups) {
    Map<String, OutcomeCount> difference = new TreeMap<>();
    bySource.forEach(
        (source, byClass) -> {
          if (groups.contains(source.group())) {
            Map<String, OutcomeCount> countsOfNewSource =
                earlier.bySource.isEmpty() ? Map.of() : byClass;
            Map<String, OutcomeCount> earlierCounts =
                earlier.bySource.getOrDefault(source, countsOfNewSource);
            byClass.forEach(
                (requestClass, count) ->
                    difference.merge(
                        requestClass,
                        count.since(earlierCounts.getOrDefault(requestClass, OutcomeCount.NONE)),
                        OutcomeCount::plus));
          }
        });
    return difference;
  }
}
