package leadferry.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import leadferry.engine.UpstreamConnection;
import leadferry.engine.UpstreamConnectionPool;
import leadferry.engine.UpstreamHost;

/** A connection that speaks HTTP/1.1 to a host. */
final class HttpUpstreamConnection extends UpstreamConnection {
  /** Tells of bytes that came behind the end of an answer. */
  static final class Decoder extends HttpResponseDecoder {
    private boolean bodiless;

    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    boolean surplus() {
      return actualReadableBytes() > 0;
    }

    /** Guards against heads that can't be read: netty ends a name at white space, colon or none. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
      if (length == 0 || line[start + length] != ':') {
        throw new IllegalArgumentException("a header line without name and colon");
      }
      return super.splitHeaderName(line, start, length);
    }

    /** The answer to a HEAD has no body, whatever length it tells (RFC 9112, 6.3). */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return super.isContentAlwaysEmpty(message) || bodiless;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      // Guards against an answer of two lengths: netty would drop one, and it may be the true one.
      throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
    }
  }

  private enum Reply {
    NONE,
    INTERIM,
    BODY,
    /**
     * The attempt is over, the rest of its answer is thrown away so that the connection can stay.
     */
    UNWANTED
  }

  /** What of an unwanted answer is read before the connection is given up instead. */
  private static final int UNWANTED_BYTES = 64 * 1024;

  private final Decoder decoder;
  final HttpProtocol protocol;
  private Reply reply = Reply.NONE;
  private boolean keep;
  private boolean untilClose;
  private int unwanted;

  HttpUpstreamConnection(
      UpstreamConnectionPool pool,
      UpstreamHost host,
      Channel channel,
      Decoder decoder,
      HttpProtocol protocol) {
    super(pool, host, channel);
    this.decoder = decoder;
    this.protocol = protocol;
  }

  @Override
  protected void prepareForAttempt() {
    reply = Reply.NONE;
    keep = true;
    untilClose = false;
    decoder.bodiless = false;
  }

  /** The present request is a HEAD. */
  void expectNoBody() {
    decoder.bodiless = true;
  }

  /** The present answer ends with the connection, if that ends in order. */
  private void endsWithConnection() {
    untilClose = true;
  }

  /** Whether this response to the present request has no body, whatever its head says. */
  boolean bodiless(HttpResponse response) {
    int status = response.status().code();
    return decoder.bodiless || status == 204 || status == 304;
  }

  /** Whether the end of the response can be told from its connection's. */
  boolean framed(HttpResponse response) {
    HttpHeaders headers = response.headers();
    if (bodiless(response)) {
      return true;
    }
    boolean chunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    boolean sized = headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    if (!chunked && !sized && protocol.untilClose() && !HttpUtil.isKeepAlive(response)) {
      endsWithConnection();
      return true;
    }
    return chunked != sized && (!chunked || HttpUtil.isTransferEncodingChunked(response));
  }

  @Override
  protected boolean hasResponseBytes() {
    return reply != Reply.NONE;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    try {
      if (attempt() == null && reply != Reply.UNWANTED) {
        // Guards against surplus bytes of one answer that would be taken for the next one's.
        onSurplusBytes();
        return;
      }
      HttpObject part = (HttpObject) msg;
      if (part.decoderResult().isFailure()) {
        onConnectionLost();
        return;
      }
      if (part instanceof HttpResponse head) {
        head(head);
      }
      if (part instanceof HttpContent content && (channel().isOpen() || untilClose)) {
        content(content);
      }
    } finally {
      ReferenceCountUtil.release(msg);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (attempt() != null) {
      ((HttpAttempt) attempt()).hostWritable();
    }
  }

  private void head(HttpResponse head) {
    HttpStatusClass kind = head.status().codeClass();
    if (kind == HttpStatusClass.INFORMATIONAL) {
      if (head.status().code() == 101) {
        onConnectionLost(); // nobody asked for another protocol
      } else {
        reply = Reply.INTERIM;
      }
      return;
    }
    int major = head.protocolVersion().majorVersion();
    HttpAttempt attempt = (HttpAttempt) attempt();
    if (major != 1 || (reply != Reply.NONE && reply != Reply.INTERIM) || attempt == null) {
      onConnectionLost(); // no HTTP of ours, or a second answer, which belongs to no attempt
      return;
    }
    reply = Reply.BODY;
    keep = HttpUtil.isKeepAlive(head);
    attempt.head(head);
  }

  private void content(HttpContent part) {
    boolean last = part instanceof LastHttpContent;
    if (reply == Reply.INTERIM) {
      reply = last ? Reply.NONE : reply;
      return;
    }
    HttpAttempt attempt = (HttpAttempt) attempt();
    if (attempt != null) {
      attempt.content(part);
      if (last && attempt() == attempt) {
        // An answer ahead of the request's last byte leaves a half-sent request behind it.
        keep &= attempt.sentWhole();
        ended();
        attempt.end(((LastHttpContent) part).trailingHeaders());
      }
    } else {
      unwanted += part.content().readableBytes();
      if (last) {
        ended();
      } else if (unwanted > UNWANTED_BYTES) {
        channel().close();
      }
    }
  }

  private void ended() {
    reply = Reply.NONE;
    boolean surplus = decoder.surplus();
    if (surplus) {
      onSurplusBytes();
    }
    onResponseComplete(keep && !surplus);
  }

  /** The attempt has learned all it needs from the head; the connection may still be of use. */
  void discardRest() {
    if (attempt() != null) {
      keep &= ((HttpAttempt) attempt()).sentWhole();
      reply = Reply.UNWANTED;
      unwanted = 0;
      detach(keep);
    }
  }
}
