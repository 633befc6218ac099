package leadferry.gossip;

import java.io.IOException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import leadferry.RecordedText;
import org.junit.jupiter.api.Test;

/** Datagrams between proxies, to bytes and back, as an earlier build wrote and read them. */
class RecordedDatagramTest {
  private static final HexFormat HEX = HexFormat.of();
  private static final List<Byte> ZONES = List.of((byte) 0, (byte) 1, (byte) 127, (byte) -1);
  private static final List<Long> HOSTS = List.of(0L, 1L, -1L, Long.MAX_VALUE, Long.MIN_VALUE);
  private static final List<Integer> AGES =
      List.of(Integer.MIN_VALUE, -1, 0, 1, 32_766, 32_767, 32_768, Integer.MAX_VALUE);

  @Test
  void everyDatagramHasTheRecordedBytes() throws IOException {
    StringBuilder lines = new StringBuilder();
    for (byte zone : ZONES) {
      for (long host : HOSTS) {
        for (int age : AGES) {
          for (boolean answers : new boolean[] {false, true}) {
            Suspicion sent = new Suspicion(zone, host, age, answers);
            lines.append(show(sent)).append(" = ").append(HEX.formatHex(sent.bytes())).append('\n');
          }
        }
      }
    }
    RecordedText.assertSame("gossip/written.txt", lines.toString());
  }

  @Test
  void everyDatagramIsReadAsRecorded() throws IOException {
    byte[] sound = new Suspicion((byte) 9, 0x0102030405060708L, 700, true).bytes();
    StringBuilder lines = new StringBuilder();
    for (int length = 0; length <= Suspicion.BYTES + 2; length++) {
      appendRead(lines, Arrays.copyOf(sound, length));
    }
    for (int form = 0; form < 256; form++) {
      byte[] foreign = sound.clone();
      foreign[0] = (byte) form;
      appendRead(lines, foreign);
    }
    for (int value = 0; value < 256; value++) {
      byte[] filled = new byte[Suspicion.BYTES];
      Arrays.fill(filled, (byte) value);
      filled[0] = sound[0];
      appendRead(lines, filled);
    }
    RecordedText.assertSame("gossip/read.txt", lines.toString());
  }

  @Test
  void zonesHaveTheRecordedBytes() throws IOException {
    StringBuilder lines = new StringBuilder();
    for (String zone :
        List.of("", "a", "b", "z", "-", "eu-west-1a", "fukuoka-dc", "Zone", "zoné")) {
      lines.append('"').append(zone).append("\" = ").append(Suspicion.zoneByte(zone)).append('\n');
    }
    lines.append("none = ").append(Suspicion.zoneByte(null)).append('\n');
    RecordedText.assertSame("gossip/zones.txt", lines.toString());
  }

  private static void appendRead(StringBuilder lines, byte[] bytes) {
    Suspicion read = Suspicion.read(bytes);
    lines.append(HEX.formatHex(bytes)).append(" = ").append(show(read)).append('\n');
  }

  private static String show(Suspicion datagram) {
    return datagram == null
        ? "none"
        : datagram.zone()
            + " "
            + datagram.endpoint()
            + " "
            + datagram.ageMillis()
            + " "
            + datagram.answers();
  }
}
