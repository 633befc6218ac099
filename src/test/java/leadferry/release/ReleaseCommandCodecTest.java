package leadferry.release;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against log entries that replicas of earlier versions cannot read, because a key or a
 * stored name has changed.
 */
class ReleaseCommandCodecTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PLAN =
      "{'name':'r','of':'host','version':'v2','from':'v1','action_ms':300000,"
          + "'longest_ms':86400000,'halt_lost':2,'on_takeover':'go','on_missing':'wait',"
          + "'on_wrong':'queue','on_verdict':'halt','guard':{'least_requests':0,'max_worse':0.02,"
          + "'max_bad':0.05,'sigmas':3.0,'wait_ms':60000},'carry':{'by':'agent'},"
          + "'steps':[{'name':'s','at_once':1,'bake_ms':0,'targets':['h']}]}";

  private static JsonNode json(String text) {
    try {
      return MAPPER.readTree(text.replace('\'', '"'));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static Stream<Arguments> operatorCommands() {
    ReleasePlan plan = ReleasePlanCodec.read(json(PLAN), new ArrayList<>());
    return Stream.of(
        Arguments.of(
            new ReleaseCommand.StartRelease(plan, "me", "w"),
            "{'op':'release_start','plan':" + PLAN + ",'who':'me','why':'w'}"),
        Arguments.of(
            new ReleaseCommand.PauseRelease("r", "w"),
            "{'op':'release_pause','release':'r','why':'w'}"),
        Arguments.of(
            new ReleaseCommand.ResumeRelease("r", "w"),
            "{'op':'release_resume','release':'r','why':'w'}"),
        Arguments.of(
            new ReleaseCommand.HaltRelease("r", "w"),
            "{'op':'release_halt','release':'r','why':'w'}"),
        Arguments.of(
            new ReleaseCommand.RollBack("r", 1, "w"),
            "{'op':'release_back','release':'r','to_step':1,'why':'w'}"),
        Arguments.of(
            new ReleaseCommand.OverrideCheck("r", "lost", "w"),
            "{'op':'release_override','release':'r','what':'lost','why':'w'}"),
        Arguments.of(
            new ReleaseCommand.EndRelease("r", "w"),
            "{'op':'release_end','release':'r','why':'w'}"));
  }

  static Stream<Arguments> driverCommands() {
    return Stream.of(
        Arguments.of(
            new ReleaseCommand.AcquireLease("r", "x", 3_000),
            "{'op':'release_drive','release':'r','driver':'x','lease_ms':3000}"),
        Arguments.of(
            new ReleaseCommand.YieldLease("r", 4),
            "{'op':'release_yield','release':'r','fence':4}"),
        Arguments.of(
            new ReleaseCommand.IntendChange("r", 4, "h"),
            "{'op':'release_intend','release':'r','fence':4,'target':'h'}"),
        Arguments.of(
            new ReleaseCommand.BeginChange("r", 4, "h", 7),
            "{'op':'release_acting','release':'r','action':7,'fence':4,'target':'h'}"),
        Arguments.of(
            new ReleaseCommand.RecordObservation("r", 4, "h", 7, "v2", "t"),
            "{'op':'release_observed','release':'r','action':7,'fence':4,'found':'v2',"
                + "'target':'h','text':'t'}"),
        Arguments.of(
            new ReleaseCommand.RecordReport("r", "h", 7, 2, "v2"),
            "{'op':'release_reported','release':'r','target':'h','action':7,'tries':2,"
                + "'found':'v2'}"),
        Arguments.of(
            new ReleaseCommand.RecordVerdict("r", 4, 1, true, "t"),
            "{'op':'release_verdict','release':'r','fence':4,'go':true,'step':1,'text':'t'}"));
  }

  @ParameterizedTest
  @MethodSource({"operatorCommands", "driverCommands"})
  void encodedCommandHasTheStoredFormAndDecodesToItself(ReleaseCommand command, String entry)
      throws JsonProcessingException {
    JsonNode encoded =
        MAPPER.readTree(MAPPER.writeValueAsString(ReleaseCommandCodec.encode(command)));
    assertThat(encoded).isEqualTo(json(entry));
    List<String> errors = new ArrayList<>();
    assertThat(ReleaseCommandCodec.decode(encoded.path("op").asText(), encoded, errors))
        .isEqualTo(command);
    assertThat(errors).isEmpty();
  }
}
