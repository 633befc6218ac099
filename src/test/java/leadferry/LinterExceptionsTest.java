package leadferry;

import static org.assertj.core.api.Assertions.assertThat;

import com.puppycrawl.tools.checkstyle.Checker;
import com.puppycrawl.tools.checkstyle.ConfigurationLoader;
import com.puppycrawl.tools.checkstyle.PropertiesExpander;
import com.puppycrawl.tools.checkstyle.api.AuditEvent;
import com.puppycrawl.tools.checkstyle.api.AuditListener;
import com.puppycrawl.tools.checkstyle.api.CheckstyleException;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against obsolete entries in the list of linter exceptions, which must only shrink. Each
 * entry names one check and one file; an entry whose file passes the check must be removed.
 */
class LinterExceptionsTest {
  private static final Path RULES = Path.of("config", "checkstyle", "checkstyle.xml");
  private static final Path EXCEPTIONS = Path.of("config", "checkstyle", "suppressions.xml");
  private static final Pattern ENTRY =
      Pattern.compile("<suppress checks=\"(\\w+)\" files=\"(src/[\\w/-]+\\.java)\"/>");

  @TempDir Path folder;

  @Test
  void everyExceptionIsStillNeeded() throws Exception {
    Set<String> listed = listedEntries();

    Set<String> needed = violationsWithoutExceptions();

    assertThat(listed).as("obsolete entries of %s", EXCEPTIONS).isSubsetOf(needed);
  }

  private static Set<String> listedEntries() throws IOException {
    Set<String> entries = new TreeSet<>();
    for (String line : Files.readAllLines(EXCEPTIONS)) {
      if (line.contains("<suppress ")) {
        Matcher matcher = ENTRY.matcher(line.strip());
        assertThat(matcher.matches())
            .as("entry (expected: one check and one file): %s", line)
            .isTrue();
        assertThat(entries.add(matcher.group(1) + " " + matcher.group(2)))
            .as("duplicate entry: %s", line)
            .isTrue();
      }
    }
    return entries;
  }

  /** Returns the violations that the linter finds without exceptions, each as "check file". */
  private Set<String> violationsWithoutExceptions() throws CheckstyleException, IOException {
    Path none = folder.resolve("none.xml");
    Files.writeString(none, Files.readString(EXCEPTIONS).replaceAll("<suppress [^>]*>", ""));
    Properties properties = new Properties();
    properties.setProperty("checkstyle.suppressions.file", none.toString());
    Set<String> found = new TreeSet<>();
    Checker checker = new Checker();
    checker.setModuleClassLoader(Checker.class.getClassLoader());
    checker.configure(
        ConfigurationLoader.loadConfiguration(
            RULES.toString(), new PropertiesExpander(properties)));
    checker.addListener(new Collector(found));
    checker.process(sources());
    checker.destroy();
    return found;
  }

  private static List<File> sources() throws IOException {
    List<File> files = new ArrayList<>();
    try (Stream<Path> paths = Files.walk(Path.of("src"))) {
      paths
          .filter(path -> path.toString().endsWith(".java"))
          .forEach(path -> files.add(path.toFile()));
    }
    return files;
  }

  /** Listener that collects violations as "check file". */
  private record Collector(Set<String> found) implements AuditListener {
    @Override
    public void addError(AuditEvent event) {
      String check = event.getSourceName().replaceAll(".*\\.|Check$", "");
      String file =
          Path.of("")
              .toAbsolutePath()
              .relativize(Path.of(event.getFileName()).toAbsolutePath())
              .toString();
      found.add(check + " " + file);
    }

    @Override
    public void addException(AuditEvent event, Throwable throwable) {
      throw new IllegalStateException(event.getFileName(), throwable);
    }

    @Override
    public void auditStarted(AuditEvent event) {}

    @Override
    public void auditFinished(AuditEvent event) {}

    @Override
    public void fileStarted(AuditEvent event) {}

    @Override
    public void fileFinished(AuditEvent event) {}
  }
}
