package leadferry.gossip;

import java.io.IOException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import leadferry.RecordedText;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the datagram format between proxies. Encoding and decoding are compared
 * with recordings of an earlier build.
 */
class RecordedDatagramTest {
  private static final HexFormat HEX = HexFormat.of();
  private static final List<Byte> ZONES = List.of((byte) 0, (byte) 1, (byte) 127, (byte) -1);
  private static final List<Long> ENDPOINT_IDS =
      List.of(0L, 1L, -1L, Long.MAX_VALUE, Long.MIN_VALUE);
  private static final List<Integer> AGES =
      List.of(Integer.MIN_VALUE, -1, 0, 1, 32_766, 32_767, 32_768, Integer.MAX_VALUE);

  @Test
  void everyDatagramHasTheRecordedBytes() throws IOException {
    StringBuilder lines = new StringBuilder();
    for (byte zone : ZONES) {
      for (long endpointId : ENDPOINT_IDS) {
        for (int age : AGES) {
          for (boolean isAlive : new boolean[] {false, true}) {
            SuspicionMessage sent = new SuspicionMessage(zone, endpointId, age, isAlive);
            lines
                .append(show(sent))
                .append(" = ")
                .append(HEX.formatHex(sent.encode()))
                .append('\n');
          }
        }
      }
    }
    RecordedText.assertSame("gossip/written.txt", lines.toString());
  }

  @Test
  void everyDatagramIsReadAsRecorded() throws IOException {
    byte[] valid = new SuspicionMessage((byte) 9, 0x0102030405060708L, 700, true).encode();
    StringBuilder lines = new StringBuilder();
    for (int length = 0; length <= SuspicionMessage.SIZE_BYTES + 2; length++) {
      appendRead(lines, Arrays.copyOf(valid, length));
    }
    for (int form = 0; form < 256; form++) {
      byte[] foreign = valid.clone();
      foreign[0] = (byte) form;
      appendRead(lines, foreign);
    }
    for (int value = 0; value < 256; value++) {
      byte[] filled = new byte[SuspicionMessage.SIZE_BYTES];
      Arrays.fill(filled, (byte) value);
      filled[0] = valid[0];
      appendRead(lines, filled);
    }
    RecordedText.assertSame("gossip/read.txt", lines.toString());
  }

  @Test
  void zonesHaveTheRecordedBytes() throws IOException {
    StringBuilder lines = new StringBuilder();
    for (String zone :
        List.of("", "a", "b", "z", "-", "eu-west-1a", "fukuoka-dc", "Zone", "zoné")) {
      lines
          .append('"')
          .append(zone)
          .append("\" = ")
          .append(SuspicionMessage.zoneByte(zone))
          .append('\n');
    }
    lines.append("none = ").append(SuspicionMessage.zoneByte(null)).append('\n');
    RecordedText.assertSame("gossip/zones.txt", lines.toString());
  }

  private static void appendRead(StringBuilder lines, byte[] bytes) {
    SuspicionMessage read = SuspicionMessage.decode(bytes);
    lines.append(HEX.formatHex(bytes)).append(" = ").append(show(read)).append('\n');
  }

  private static String show(SuspicionMessage datagram) {
    return datagram == null
        ? "none"
        : datagram.zone()
            + " "
            + datagram.endpoint()
            + " "
            + datagram.ageMillis()
            + " "
            + datagram.isAlive();
  }
}
