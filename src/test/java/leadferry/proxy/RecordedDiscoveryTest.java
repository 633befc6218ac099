package leadferry.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import leadferry.RawMessage;
import leadferry.RecordedText;
import leadferry.engine.LineLog;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What the platform's process sends to discovery, byte for byte, and what it makes of each form of
 * answer: a list whole or changed, in one piece or many, on one line or indented, sound or not. The
 * version that it goes on from tells what it has applied.
 */
class RecordedDiscoveryTest {
  private static final int REQUESTS_SHOWN = 2;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** Fewer: between polls the policy waits, and answers are read by the same code. */
  private static final Set<String> POLLED_FORMS =
      new TreeSet<>(
          Set.of("full", "full, indented", "delta with a removed host", "no JSON", "503", "no id"));

  @TempDir Path folder;
  private final ByteArrayOutputStream log = new ByteArrayOutputStream();

  @ParameterizedTest
  @CsvSource({"false,true,watch", "false,false,first-list", "true,true,poll"})
  void everyFormIsRequestedAndReadAsRecorded(boolean polled, boolean known, String name)
      throws Exception {
    StringBuilder transcript = new StringBuilder();
    for (String form : polled ? POLLED_FORMS : forms("A", "B").keySet()) {
      transcript.append("--- ").append(form).append('\n');
      transcript.append(exchange(polled, known, form));
    }
    RecordedText.assertSame("discovery/" + name + ".txt", transcript.toString());
  }

  /** Forms of answers, each as the pieces in which it is written. */
  private static Map<String, List<String>> forms(String first, String second) {
    String added = entry("b", second, "up");
    Map<String, List<String>> forms = new LinkedHashMap<>();
    addWhole(forms, list(43, true, added));
    addChanges(forms, entry("a", first, "draining"), entry("a", first, "removed"), added);
    String known = entry("c", first, "up");
    String gone = entry("c", first, "removed");
    String unknownState = list(43, true, added, entry("a", first, "odd"));
    forms.put(
        "full, then deltas",
        lines(list(43, true, added), list(44, false, known), list(45, false, gone)));
    forms.put("a state that is not known", lines(unknownState));
    forms.put("an older version", lines(list(3, true, added)));
    forms.put("nothing but empty lines", lines("", ""));
    forms.put("an id twice", lines(list(43, true, added, entry("b", first, "up"))));
    addFaulty(forms, list(43, true, added), second);
    return forms;
  }

  private static void addWhole(Map<String, List<String>> forms, String full) {
    forms.put("full", lines(full));
    forms.put("full, line ended by CRLF", chunked(full + "\r\n"));
    forms.put("full, without the line's end", chunked(full));
    forms.put("full, with a length", List.of(ProxyFixture.ok(full + "\n")));
    forms.put("full, in chunks of 7", pieces(full + "\n", 7));
    forms.put("full, indented", lines(indented(full)));
    forms.put("full, indented, in chunks of 5", pieces(indented(full) + "\n", 5));
    forms.put("full, empty lines around", lines("", "", full, "", ""));
    forms.put("unknown fields", lines(full.replace("\"id\"", "\"more\":{\"x\":[1]},\"id\"")));
    String defaults = full.replaceAll("\"(zone|kind|cell|weight)\":[^,]*,", "");
    forms.put("without what has defaults", lines(defaults));
  }

  private static void addChanges(
      Map<String, List<String>> forms, String draining, String removed, String added) {
    String delta = list(43, false, draining, added);
    forms.put("delta with a draining host", lines(delta));
    forms.put("delta with a removed host", lines(list(43, false, removed, added)));
    forms.put("delta in single bytes", pieces(delta + "\n", 1));
    forms.put("delta, indented", lines(indented(delta)));
  }

  private static void addFaulty(Map<String, List<String>> forms, String full, String address) {
    forms.put("no JSON", lines("no list"));
    forms.put("another JSON", lines("[1]"));
    forms.put("no version", lines("{\"full\":true,\"servers\":[]}"));
    forms.put("no id", lines(full.replace("\"b\"", "\"\"")));
    forms.put("no address", lines(full.replace(address, "nowhere")));
    forms.put("cut in a value", lines(full.substring(0, full.length() - 30)));
    String indented = indented(full);
    forms.put("indented, cut in a name", lines(indented.substring(0, 44), ""));
    forms.put("cut between lines", lines(indented.substring(0, indented.indexOf('\n')), ""));
    forms.put("503", List.of("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
    forms.put("no HTTP", List.of("noise\r\n\r\n"));
  }

  private static List<String> lines(String... lines) {
    return chunked(String.join("\n", lines) + "\n");
  }

  private static String entry(String id, String address, String state) {
    return ("{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":1,"
            + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":0}")
        .formatted(id, address, state);
  }

  private static String list(int version, boolean full, String... entries) {
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}"
        .formatted(version, full, String.join(",", entries));
  }

  private static String indented(String list) {
    return list.replace("[", "[\n  ")
        .replace("},", "},\n  ")
        .replace("\"kind\"", "\n    \"kind\"")
        .replace("]", "\n]");
  }

  private static List<String> chunked(String text) {
    return List.of(HEAD + chunk(text), LAST_CHUNK);
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static List<String> pieces(String text, int size) {
    List<String> pieces = new ArrayList<>(List.of(HEAD));
    for (int from = 0; from < text.length(); from += size) {
      pieces.add(chunk(text.substring(from, Math.min(text.length(), from + size))));
    }
    pieces.add(LAST_CHUNK);
    return pieces;
  }

  private String exchange(boolean polled, boolean known, String form) throws Exception {
    log.reset();
    try (ProxyFixture fixture = new ProxyFixture(folder, 128)) {
      fixture.pollsDiscovery = polled;
      ProxyFixture.UpstreamHost first = fixture.new UpstreamHost(head -> ProxyFixture.ok("host A"));
      ProxyFixture.UpstreamHost second =
          fixture.new UpstreamHost(head -> ProxyFixture.ok("host B"));
      List<String> response = forms(first.address(), second.address()).get(form);
      ScriptedDiscovery discovery = new ScriptedDiscovery(fixture, response);
      String start = known ? list(40, true, entry("a", first.address(), "up")) : "{}";
      PrintStream out = new PrintStream(log, true, StandardCharsets.UTF_8);
      fixture.startProxy(fixture.writeConfig(discovery.address(), start), new LineLog(out, false));
      ProxyFixture.await(() -> discovery.requests.size() >= REQUESTS_SHOWN);
      return describeExchange(fixture, discovery);
    }
  }

  private String describeExchange(ProxyFixture fixture, ScriptedDiscovery discovery)
      throws IOException {
    StringBuilder description = new StringBuilder();
    for (String request : discovery.requests.subList(0, REQUESTS_SHOWN)) {
      description
          .append("discovery gets: ")
          .append(RecordedText.escapeCarriageReturns(request))
          .append('\n');
    }
    log.toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains("watch:"))
        .forEach(line -> description.append(line.substring(line.indexOf("watch:"))).append('\n'));
    String served = fixture.sendRequest(ProxyFixture.atMostOnceRequest("r1"));
    description
        .append("served by: ")
        .append(served.substring(served.lastIndexOf('\n') + 1))
        .append('\n');
    return RecordedText.maskPorts(description.toString());
  }

  /** Answers the first request as told, and says at later ones that nothing has changed. */
  private static final class ScriptedDiscovery extends ProxyFixture.Server {
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<String> response;

    ScriptedDiscovery(ProxyFixture fixture, List<String> response) throws IOException {
      fixture.super();
      this.response = response;
    }

    @Override
    void serve(Socket socket) throws IOException {
      String request;
      while (!(request = RawMessage.read(socket.getInputStream())).isEmpty()) {
        requests.add(request);
        if (requests.size() > 1) {
          ProxyFixture.write(socket, HEAD + chunk("\n"));
        } else {
          for (String piece : response) {
            ProxyFixture.write(socket, piece);
          }
        }
      }
    }
  }
}
