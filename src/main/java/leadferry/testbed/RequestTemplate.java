package leadferry.testbed;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;

/** The bytes of a kind's requests around the id of each. */
final class RequestTemplate {
  private final byte[] beforeId;
  private final byte[] afterId;
  private final byte[] end;

  /** Whether the id stands a second time, as the idempotency key. */
  private final boolean keyed;

  private final boolean head;

  RequestTemplate(LoadGenerator.RequestKind kind) {
    boolean hasBody = kind.bodyBytes() > 0 || !kind.method().equals("GET");
    String length = hasBody ? "Content-Length: " + kind.bodyBytes() + "\r\n" : "";
    keyed = kind.headers().contains("Idempotency-Key");
    head = kind.method().equals("HEAD");
    beforeId =
        MinimalFakeUpstream.ascii(
            kind.method() + " " + kind.path() + " HTTP/1.1\r\nHost: load.test\r\nX-Request-ID: ");
    afterId = MinimalFakeUpstream.ascii("\r\n" + kind.headers());
    end =
        MinimalFakeUpstream.ascii(
            (keyed ? "\r\n" : "") + length + "\r\n" + " ".repeat(kind.bodyBytes()));
  }

  /** Whether responses have no body, whatever their head says. */
  boolean isHead() {
    return head;
  }

  /** The bytes of a request with that id. */
  ByteBuf encode(Channel channel, byte[] id) {
    ByteBuf bytes =
        channel.alloc().ioBuffer(beforeId.length + afterId.length + end.length + 2 * id.length);
    bytes.writeBytes(beforeId).writeBytes(id).writeBytes(afterId);
    if (keyed) {
      bytes.writeBytes(id);
    }
    return bytes.writeBytes(end);
  }
}
