package leadferry;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the dependencies between packages: a package uses only packages of lower layers. */
class ArchitectureTest {
  /** Layers from top to bottom; packages of the same layer must not use each other. */
  private static final List<List<String>> LAYERS =
      List.of(
          List.of("cli"),
          List.of("daemon", "proxy"),
          List.of("http"),
          List.of("consensus"),
          List.of("release"),
          List.of("disruption"),
          List.of("engine"),
          List.of("routing", "limits"),
          List.of("adapter"),
          List.of("gossip"),
          List.of("loadbalancer"));

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("leadferry");

  private static String[] packages(List<String> names) {
    return names.stream().map(name -> "leadferry." + name + "..").toArray(String[]::new);
  }

  @Test
  void packagesDependOnlyOnLowerLayers() {
    for (int lower = 1; lower < LAYERS.size(); lower++) {
      for (int upper = 0; upper < lower; upper++) {
        noClasses()
            .that()
            .resideInAnyPackage(packages(LAYERS.get(lower)))
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(packages(LAYERS.get(upper)))
            .allowEmptyShould(true)
            .check(CLASSES);
      }
    }
  }

  @Test
  void packagesOfOneLayerDoNotDependOnEachOther() {
    for (List<String> layer : LAYERS) {
      for (String first : layer) {
        for (String second : layer) {
          if (!first.equals(second)) {
            noClasses()
                .that()
                .resideInAPackage("leadferry." + first + "..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("leadferry." + second + "..")
                .allowEmptyShould(true)
                .check(CLASSES);
          }
        }
      }
    }
  }

  /**
   * Durations must be measured by the monotonic clock, because time services and people step the
   * wall clock.
   */
  @Test
  void onlyServerStartAndOperatorOutputReadTheWallClock() {
    noClasses()
        .that()
        .resideOutsideOfPackage("leadferry.cli..")
        .and()
        .doNotHaveFullyQualifiedName("leadferry.engine.Dispatcher")
        .and()
        .doNotHaveFullyQualifiedName("leadferry.daemon.Daemon")
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(java.time.Instant.class, "now")
        .orShould()
        .callMethod(java.time.Clock.class, "systemUTC")
        .check(CLASSES);
  }

  @Test
  void engineDependsOnNoProtocol() {
    noClasses()
        .that()
        .resideInAPackage("leadferry.engine..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("io.netty.handler.codec..", "com.fasterxml.jackson..")
        .check(CLASSES);
  }

  @Test
  void decisionPackagesDoNoInputOrOutput() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "leadferry.loadbalancer..",
            "leadferry.routing..",
            "leadferry.limits..",
            "leadferry.gossip..",
            "leadferry.disruption..",
            "leadferry.release..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..", "java.net..", "java.nio.file..", "java.nio.channels..", "java.io..")
        .allowEmptyShould(true)
        .check(CLASSES);
  }

  /**
   * The control state is independent of requests, and the code that applies log entries to it only
   * computes, so that it has the same result on every replica.
   */
  @Test
  void controlStateDependsOnNoProxyCodeAndDoesNoInputOrOutput() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "leadferry.consensus..", "leadferry.disruption..", "leadferry.release..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "leadferry.engine..",
            "leadferry.loadbalancer..",
            "leadferry.http..",
            "leadferry.gossip..")
        .check(CLASSES);
    noClasses()
        .that()
        .haveNameMatching(
            "leadferry\\.consensus\\.(FleetStateMachine|LogEntry|NewerSchemaException|SessionTable|CallHistory"
                + "|AuditLog|OutcomeCodec|SnapshotCodec|LeaseTimers|Lease).*")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..",
            "org.apache.ratis..",
            "java.net..",
            "java.nio.file..",
            "java.util.concurrent..")
        .check(CLASSES);
  }

  @Test
  void productionCodeDoesNotUseTheTestbed() {
    noClasses()
        .that()
        .resideOutsideOfPackages("leadferry.testbed..", "leadferry.cli..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("leadferry.testbed..")
        .check(CLASSES);
  }
}
