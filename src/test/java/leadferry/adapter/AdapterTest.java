package leadferry.adapter;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the commands with which the adapter replies to batches of events, and malformed input. */
class AdapterTest {
  private static final String CONF =
      "{\"balancers\":2,\"position\":0,\"zone\":\"z1\",\"novel\":[1],\"classes\":[{\"name\":\"c\","
          + "\"aim\":100,\"deadline\":400,\"semantics\":\"idempotent\"}],"
          + "\"limits\":{\"maxAttempts\":2,\"parallelTries\":true,\"cancel\":true},"
          + "\"rules\":{\"cold\":1000,\"startCapacity\":0.5,\"fall\":500,\"fallMultiple\":3}}";

  private static String run(String input) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new Adapter(
            new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
            out,
            new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8))
        .run();
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String startEvents(int instance) {
    return "new_instance who="
        + instance
        + " prng=5 conf="
        + CONF
        + "\n"
        + "ledger buffer=0 records=1\n"
        + "host host=77 hall=z1 model=m group=0 condition=Ready capacityHint=1 later=1\n"
        + "membership who="
        + instance
        + " buffer=0 how=cached stamp=1\n";
  }

  @Test
  void emptyInputAndEmptyBatch() throws IOException {
    assertThat(run("")).isEmpty();
    assertThat(run("sync wall=1.5\neob\n")).isEqualTo("ok\n");
  }

  @Test
  void requestIsSentAndEnded() throws IOException {
    String reply =
        run(
            "sync wall=10\n"
                + startEvents(3)
                + "eob\n"
                + "sync wall=11\ninbound who=3 txn=4000000000 class=c routeKey=a=b budget=400\neob\n"
                + "sync wall=12\noutcome who=3 txn=4000000000 sendNo=0 host=77 reason=1 spent=1.0"
                + " terminal=1 load=novel:3,rif:2\neob\n");
    assertThat(reply)
        .startsWith("ok\ntransmit who=3 txn=4000000000 host=77\n")
        .endsWith("ok\nok\n");
  }

  /**
   * An attempt that timed out is broadcast to the other proxies, and messages of others are
   * processed. If the deployment does not permit messages, none is sent.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void instancesSendGossipOnlyIfAllowed(boolean allowed) throws IOException {
    String reply =
        run(
            "sync wall=10\n"
                + startEvents(3).replace("\"cancel\":true", "\"cancel\":true,\"peers\":" + allowed)
                + "eob\n"
                + "sync wall=11\ninbound who=3 txn=4 class=c budget=400\neob\n"
                + "sync wall=400\noutcome who=3 txn=4 sendNo=0 host=77 reason=4 spent=389 terminal=1\neob\n"
                + "sync wall=401\nheard who=3 from=1 raw=AAA=\neob\n");
    String gossipCommand = "memo_to who=3 recipient=all raw=";
    assertThat(reply.contains(gossipCommand)).isEqualTo(allowed);
    assertThat(reply).endsWith("ok\n").doesNotContain("crash");
  }

  @Test
  void invalidBase64IsMalformedAndTimerOfRetiredInstanceIsIgnored() throws IOException {
    String eventsWithGossip =
        startEvents(3).replace("\"cancel\":true", "\"cancel\":true,\"peers\":true");
    assertThat(
            run("sync wall=10\n" + eventsWithGossip + "retire who=3\nwake who=3 token=-2\neob\n"))
        .isEqualTo("ok\n");
    assertThatThrownBy(
            () -> run("sync wall=10\n" + eventsWithGossip + "heard who=3 from=1 raw=%%\neob\n"))
        .isInstanceOf(MalformedInputException.class)
        .hasMessageContaining("raw");
  }

  @Test
  void requestIsRejectedIfOnlyEndpointIsFull() throws IOException {
    String reply =
        run(
            "sync wall=10\n"
                + startEvents(3)
                + "inbound who=3 txn=1 class=c budget=400\n"
                + "outcome who=3 txn=1 sendNo=0 host=77 reason=3 spent=1\neob\n");
    assertThat(reply).contains("shed who=3 txn=1");
  }

  @Test
  void eventsForRetiredAndUnknownIdsAreIgnored() throws IOException {
    String reply =
        run(
            "sync wall=10\n"
                + startEvents(3)
                + "gone who=3 txn=99\noutcome who=3 txn=98 sendNo=0 host=1 reason=2 spent=1\n"
                + "wake who=3 token=12\nprobed who=3 host=5 spent=1 reason=1\n"
                + "heard who=3 from=1 raw=-\nnovel who=3 thing=2\n"
                + "retire who=3\n"
                + startEvents(3)
                + "retire who=3\n"
                + "inbound who=3 txn=1 class=c budget=400\neob\n");
    assertThat(reply).isEqualTo("ok\n");
  }

  @Test
  void endpointListUsesLatestBuffer() throws IOException {
    String reply =
        run(
            "sync wall=10\n"
                + startEvents(0)
                + "ledger buffer=0 records=1\nhost host=88\n"
                + "membership who=0 buffer=0 how=full stamp=2\n"
                + "inbound who=0 txn=1 class=c budget=400\neob\n");
    assertThat(reply).contains("host=88").doesNotContain("host=77");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "hello\n",
        "sync\n",
        "sync wall=x\neob\n",
        "sync wall=1\ninbound who=1 txn=abc class=c budget=1\neob\n",
        "sync wall=1\ninbound who\neob\n",
        "sync wall=1\nnew_instance who=1 prng=1 conf={\neob\n",
        "sync wall=1\nnew_instance who=1 prng=1 conf=[]\neob\n",
        "sync wall=1\nledger buffer=0 records=2\nhost host=1\neob\n",
        "sync wall=1\n",
        "sync wall=1\neo",
        "sync wall=1\n\neob\n"
      })
  void malformedInputFailsWithOneLineMessage(String input) {
    assertThatThrownBy(() -> run(input))
        .isInstanceOf(MalformedInputException.class)
        .message()
        .doesNotContain("\n")
        .isNotBlank();
  }
}
