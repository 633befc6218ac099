package corkproxy;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The arrows between packages: each may use those that stand after it, never those before. */
class ArchitectureTest {
  /** From the top down; packages of one line may not use each other. */
  private static final List<List<String>> LAYERS =
      List.of(
          List.of("cli"),
          List.of("daemon", "proxy"),
          List.of("http"),
          List.of("quorum"),
          List.of("release"),
          List.of("disruption"),
          List.of("engine"),
          List.of("routing", "limits"),
          List.of("adapter"),
          List.of("fleet"),
          List.of("balancer"));

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("corkproxy");

  private static String[] packages(List<String> names) {
    return names.stream().map(n -> "corkproxy." + n + "..").toArray(String[]::new);
  }

  @Test
  void arrowsPointDown() {
    for (int low = 1; low < LAYERS.size(); low++) {
      for (int high = 0; high < low; high++) {
        noClasses()
            .that()
            .resideInAnyPackage(packages(LAYERS.get(low)))
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(packages(LAYERS.get(high)))
            .allowEmptyShould(true)
            .check(CLASSES);
      }
    }
  }

  @Test
  void packagesOfOneLayerDoNotKnowEachOther() {
    for (List<String> layer : LAYERS) {
      for (String a : layer) {
        for (String b : layer) {
          if (!a.equals(b)) {
            noClasses()
                .that()
                .resideInAPackage("corkproxy." + a + "..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("corkproxy." + b + "..")
                .allowEmptyShould(true)
                .check(CLASSES);
          }
        }
      }
    }
  }

  /** Spans go by the monotonic clock: the wall clock is stepped by time services and by hand. */
  @Test
  void onlyStartsOfServersAndOperatorsOutputReadTheWallClock() {
    noClasses()
        .that()
        .resideOutsideOfPackage("corkproxy.cli..")
        .and()
        .doNotHaveFullyQualifiedName("corkproxy.engine.Dispatcher")
        .and()
        .doNotHaveFullyQualifiedName("corkproxy.daemon.Daemon")
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(java.time.Instant.class, "now")
        .orShould()
        .callMethod(java.time.Clock.class, "systemUTC")
        .check(CLASSES);
  }

  @Test
  void theEngineKnowsNoProtocol() {
    noClasses()
        .that()
        .resideInAPackage("corkproxy.engine..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("io.netty.handler.codec..", "com.fasterxml.jackson..")
        .check(CLASSES);
  }

  @Test
  void whatDecidesDoesNoInputOrOutput() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "corkproxy.balancer..",
            "corkproxy.routing..",
            "corkproxy.limits..",
            "corkproxy.fleet..",
            "corkproxy.disruption..",
            "corkproxy.release..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..", "java.net..", "java.nio.file..", "java.nio.channels..", "java.io..")
        .allowEmptyShould(true)
        .check(CLASSES);
  }

  /** The agreed ledger knows no requests, and what it is applied by does nothing but compute. */
  @Test
  void theLedgerKnowsNoProxyAndDoesNoInputOrOutput() {
    noClasses()
        .that()
        .resideInAnyPackage("corkproxy.quorum..", "corkproxy.disruption..", "corkproxy.release..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "corkproxy.engine..", "corkproxy.balancer..", "corkproxy.http..", "corkproxy.fleet..")
        .check(CLASSES);
    noClasses()
        .that()
        .haveNameMatching("corkproxy\\.quorum\\.(Ledger|Timers|Lease).*")
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
  void productionUsesNoStandIn() {
    noClasses()
        .that()
        .resideOutsideOfPackages("corkproxy.standin..", "corkproxy.cli..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("corkproxy.standin..")
        .check(CLASSES);
  }
}
