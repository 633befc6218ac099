package leadferry.gossip;

import java.nio.ByteBuffer;

/**
 * A message between proxies. It is a suspicion (the endpoint has not responded to the sender for
 * {@code ageMillis}) or a refutation (the endpoint responded {@code ageMillis} ago). The size is
 * fixed and small, because every proxy of the tier receives each message.
 *
 * <pre>
 *   0      1      2                  10        12
 *   | 0xA7 | zone | endpoint, 8 bytes | age, ms |      top bit of the age: the endpoint is alive
 * </pre>
 *
 * @param zone the {@link #zoneByte} of the sender's zone; 0 if the sender has no zone
 * @param endpoint the endpoint id, the same for all proxies of the tier
 * @param ageMillis the time since the request without a response was sent (suspicion) or since the
 *     response arrived (refutation), at most {@link #MAX_AGE_MILLIS}
 * @param isAlive whether the message is a refutation
 */
public record SuspicionMessage(byte zone, long endpoint, int ageMillis, boolean isAlive) {
  /** Size of a message in bytes. */
  public static final int SIZE_BYTES = 12;

  /** Largest age in milliseconds that a message can carry; a larger age is sent as this maximum. */
  public static final int MAX_AGE_MILLIS = 0x7fff;

  private static final byte MAGIC = (byte) 0xA7;
  private static final int ALIVE_BIT = 0x8000;

  /** Returns the byte for a zone name, never 0; 0 for null. */
  public static byte zoneByte(String zone) {
    return zone == null ? 0 : (byte) (1 + Math.floorMod(zone.hashCode(), 255));
  }

  /** Returns the encoded message. */
  public byte[] encode() {
    int ageAndFlag = Math.max(0, Math.min(MAX_AGE_MILLIS, ageMillis)) | (isAlive ? ALIVE_BIT : 0);
    return ByteBuffer.allocate(SIZE_BYTES)
        .put(MAGIC)
        .put(zone)
        .putLong(endpoint)
        .putShort((short) ageAndFlag)
        .array();
  }

  /** Returns the decoded message, or null if the bytes are not a message. */
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
