package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import leadferry.disruption.DisruptionState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A replica's folder and the requests of members and operators, as an earlier build wrote them. */
class RecordedReplicaTest {
  private static final long ANSWER_NANOS = 10_000_000_000L;
  private static final int MOST_REDIRECTS = 400;

  @TempDir Path folder;

  @Test
  void aFolderOfAnEarlierBuildIsRead() throws Exception {
    unzip("folder.zip");
    List<JsonNode> transcript = transcript();
    try (Replica replica = replica(false);
        ReplicaClientConnection connection = new ReplicaClientConnection(replicaAddress, 1_000)) {
      assertThat(replica).isNotNull();
      // The last questions of the recording only read: their answers are the state in the folder.
      for (JsonNode exchange : transcript.subList(transcript.size() - 6, transcript.size())) {
        assertSameAnswer(connection, exchange);
      }
    }
  }

  @Test
  void everyRequestGetsTheAnswerOfTheEarlierBuild() throws Exception {
    try (Replica replica = replica(true);
        ReplicaClientConnection connection = new ReplicaClientConnection(replicaAddress, 1_000)) {
      assertThat(replica).isNotNull();
      for (JsonNode exchange : transcript()) {
        assertSameAnswer(connection, exchange);
      }
    }
  }

  private InetSocketAddress replicaAddress;

  private Replica replica(boolean fresh) throws IOException {
    InetSocketAddress log = freeAddress();
    replicaAddress = freeAddress();
    return new Replica(
        new ReplicaConfig(
            "roster",
            "k1",
            log,
            replicaAddress,
            folder.resolve("k1"),
            Map.of("k1", log),
            100,
            12,
            new DisruptionState.Times(600_000, 600_000, 1_000)),
        fresh,
        System.err::println,
        Throwable::printStackTrace);
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  private static List<JsonNode> transcript() throws IOException {
    try (InputStream input = resource("transcript.jsonl")) {
      return new String(input.readAllBytes(), StandardCharsets.UTF_8)
          .lines()
          .map(line -> (JsonNode) Json.parse(line.getBytes(StandardCharsets.UTF_8)))
          .toList();
    }
  }

  private static InputStream resource(String name) {
    return RecordedReplicaTest.class.getResourceAsStream("/fixtures/replica/" + name);
  }

  private void unzip(String name) throws IOException {
    try (ZipInputStream zip = new ZipInputStream(resource(name))) {
      ZipEntry entry;
      while ((entry = zip.getNextEntry()) != null) {
        Path file = folder.resolve(entry.getName());
        if (!entry.isDirectory()) {
          Files.createDirectories(file.getParent());
          Files.write(file, zip.readAllBytes());
        }
      }
    }
  }

  /** Asks until the replica leads, as members do. */
  private static void assertSameAnswer(ReplicaClientConnection connection, JsonNode exchange)
      throws Exception {
    ObjectNode request = (ObjectNode) exchange.path("request");
    ObjectNode answer = null;
    for (int i = 0; i < MOST_REDIRECTS; i++) {
      connection.send(request);
      answer = connection.receive(System.nanoTime() + ANSWER_NANOS);
      while (answer != null && answer.has("push")) {
        answer = connection.receive(System.nanoTime() + ANSWER_NANOS);
      }
      if (answer == null || (!answer.has("redirect") && !answer.has("undecided"))) {
        break;
      }
      Sleep.millis(50);
    }
    assertThat(answer).as("answer to %s", request).isNotNull();
    assertThat(Json.text(answer))
        .as("answer to %s", request)
        .isEqualTo(Json.text(exchange.path("answer")));
  }
}
