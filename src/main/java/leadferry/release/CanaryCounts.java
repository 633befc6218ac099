package leadferry.release;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import leadferry.disruption.TargetType;

/**
 * What members have counted since they began, by what it says something about. Targets that are
 * out, warming up or stabilizing count for neither version, and the previous version counts only in
 * zones where something runs the new one, so that like is compared with like.
 */
final class CanaryCounts {
  /** No counts. */
  static final CanaryCounts NONE = new CanaryCounts();

  /** What a count says something about. */
  enum Group {
    PREVIOUS,
    NEW_IN_THIS_STEP,
    NEW_IN_EARLIER_STEPS
  }

  /** Where a count comes from: a session of a member, and of hosts the host. */
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
              if (release.plan().targetType() == TargetType.HOST) {
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

  /** The group of a target's counts, or null where they don't count. */
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
   * What was counted since an earlier reading in these groups, by request class. A source that is
   * not in the earlier reading counts for nothing, unless there was no reading at all.
   */
  Map<String, OutcomeCount> since(CanaryCounts earlier, Set<Group> groups) {
    Map<String, OutcomeCount> difference = new TreeMap<>();
    bySource.forEach(
        (source, byClass) -> {
          if (groups.contains(source.group())) {
            Map<String, OutcomeCount> unknown = earlier.bySource.isEmpty() ? Map.of() : byClass;
            Map<String, OutcomeCount> before = earlier.bySource.getOrDefault(source, unknown);
            byClass.forEach(
                (requestClass, count) ->
                    difference.merge(
                        requestClass,
                        count.since(before.getOrDefault(requestClass, OutcomeCount.NONE)),
                        OutcomeCount::plus));
          }
        });
    return difference;
  }
}
