package leadferry.gossip;

import java.nio.ByteBuffer;

/**
 * One message between proxies: an endpoint has said nothing to the sender for so long, or has
 * answered so long ago. Fixed size, as a receiver pays for each byte.
 *
 * <pre>
 *   0      1      2                  10        12
 *   | 0xA7 | zone | endpoint, 8 bytes | age, ms |      the top bit of the age: the endpoint answers
 * </pre>
 *
 * @param zone a byte that the senders of one zone share; 0 where there are no zones
 * @param endpoint the number by which all proxies of the tier know the endpoint
 * @param ageMillis how long ago (at most {@link #MOST_AGE_MILLIS}) the unanswered request went out,
 *     or the response came
 * @param answers whether the endpoint answers
 */
public record Suspicion(byte zone, long endpoint, int ageMillis, boolean answers) {
  /** Bytes of a message. */
  public static final int BYTES = 12;

  /** The longest age (ms) that a message can tell; older ones are told as this. */
  public static final int MOST_AGE_MILLIS = 0x7fff;

  private static final byte FORM = (byte) 0xA7;
  private static final int ANSWERS = 0x8000;

  /** The byte for a zone of that name, never 0; 0 for null. */
  public static byte zoneByte(String zone) {
    return zone == null ? 0 : (byte) (1 + Math.floorMod(zone.hashCode(), 255));
  }

  /** The message as it travels. */
  public byte[] bytes() {
    int told = Math.max(0, Math.min(MOST_AGE_MILLIS, ageMillis)) | (answers ? ANSWERS : 0);
    return ByteBuffer.allocate(BYTES)
        .put(FORM)
        .put(zone)
        .putLong(endpoint)
        .putShort((short) told)
        .array();
  }

  /** The message that these bytes are, or null where they are none. */
  public static Suspicion read(byte[] bytes) {
    if (bytes.length != BYTES || bytes[0] != FORM) {
      return null;
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes, 1, BYTES - 1);
    byte zone = buffer.get();
    long endpoint = buffer.getLong();
    int told = buffer.getShort() & 0xffff;
    return new Suspicion(zone, endpoint, told & MOST_AGE_MILLIS, (told & ANSWERS) != 0);
  }
}
