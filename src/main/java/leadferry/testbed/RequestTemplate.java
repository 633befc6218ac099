package leadferry.testbed;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;

/** The encoded request of a kind, into which each request's id is inserted. */
final class RequestTemplate {
  private final byte[] beforeId;
  private final byte[] afterId;
  private final byte[] end;

  /** Whether the id is also sent as the idempotency key. */
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

  /**
   * Returns whether the method is HEAD, whose responses have no body whatever their headers say.
   */
  boolean isHead() {
    return head;
  }

  /** Returns the encoded request with that id. */
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
