package leadferry.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import leadferry.daemon.ConfigurationError;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.Daemon;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Validates a configuration file of the daemon and prints its errors. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description =
        "Validates a daemon configuration file and reports every error, without starting anything.",
    footer = {"", "Exit status: 0 if the file is valid, 2 if it has errors."})
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "Configuration file of the daemon.")
  private Path file;

  @Option(names = "--json", description = "Prints the errors as JSON on standard output.")
  private boolean json;

  @Override
  public Integer call() throws JsonProcessingException {
    List<ConfigurationError> errors = new ArrayList<>();
    try {
      Daemon.check(file);
    } catch (ConfigurationException e) {
      errors.addAll(e.errors());
    }
    if (json) {
      Map<String, Object> result = new LinkedHashMap<>();
      result.put("sound", errors.isEmpty());
      result.put("faults", errors);
      System.out.println(new ObjectMapper().writeValueAsString(result));
    } else if (errors.isEmpty()) {
      System.out.println(file + ": valid");
    } else {
      errors.forEach(System.err::println);
      System.err.println(errors.size() + (errors.size() == 1 ? " error" : " errors"));
    }
    return errors.isEmpty() ? 0 : 2;
  }
}
