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

@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Judges an operator's file and tells every fault, without starting anything.",
    footer = {"", "Exit status: 0 the file is sound, 2 it has faults."})
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The operator's file.")
  private Path file;

  @Option(names = "--json", description = "Faults as JSON on standard output.")
  private boolean json;

  @Override
  public Integer call() throws JsonProcessingException {
    List<ConfigurationError> faults = new ArrayList<>();
    try {
      Daemon.check(file);
    } catch (ConfigurationException e) {
      faults.addAll(e.errors());
    }
    if (json) {
      Map<String, Object> out = new LinkedHashMap<>();
      out.put("sound", faults.isEmpty());
      out.put("faults", faults);
      System.out.println(new ObjectMapper().writeValueAsString(out));
    } else if (faults.isEmpty()) {
      System.out.println(file + ": sound");
    } else {
      faults.forEach(System.err::println);
      System.err.println(faults.size() + (faults.size() == 1 ? " fault" : " faults"));
    }
    return faults.isEmpty() ? 0 : 2;
  }
}
