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
 * @param ageMillis how long ago (at most {@link #MAX_AGE_MILLIS}) the unanswered request went out,
 *     or the response came
 * @param isAlive whether the endpoint answers
 */
public record SuspicionMessage(byte zone, long endpoint, int ageMillis, boolean isAlive) {
  /** Bytes of a message. */
  public static final int SIZE_BYTES = 12;

  /** The longest age (ms) that a message can tell; older ones are told as this. */
  public static final int MAX_AGE_MILLIS = 0x7fff;

  private static final byte MAGIC = (byte) 0xA7;
  private static final int ALIVE_BIT = 0x8000;

  /** The byte for a zone of that name, never 0; 0 for null. */
  public static byte zoneByte(String zone) {
    return zone == null ? 0 : (byte) (1 + Math.floorMod(zone.hashCode(), 255));
  }

  /** The message as it travels. */
  public byte[] encode() {
    int ageAndFlag = Math.max(0, Math.min(MAX_AGE_MILLIS, ageMillis)) | (isAlive ? ALIVE_BIT : 0);
    return ByteBuffer.allocate(SIZE_BYTES)
        .put(MAGIC)
        .put(zone)
        .putLong(endpoint)
        .putShort((short) ageAndFlag)
        .array();
  }

  /** The message that these bytes are, or null where they are none. */
  public static SuspicionMessage decode(byte[] bytes) {
    if (bytes.length != SIZE_BYTES || bytes[0] != MAGIC) {
      return null;
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes, 1, SIZE_BYTES - 1);
    byte zone = buffer.get();
    long endpoint = buffer.getLong();
    int ageAndFlag = buffer.getShort() & 0xffff;
    return new SuspicionMessage(
        zone, endpoint, ageAndFlag & MAX_AGE_MILLIS, (ageAndFlag & ALIVE_BIT) != 0);
  }
}
