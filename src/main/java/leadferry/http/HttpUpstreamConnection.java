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
    private boolean expectsNoBody;

    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    boolean hasSurplusBytes() {
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
      return super.isContentAlwaysEmpty(message) || expectsNoBody;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      // Guards against an answer of two lengths: netty would drop one, and it may be the true one.
      throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
    }
  }

  private enum ResponseState {
    NONE,
    INTERIM,
    BODY,
    /**
     * The attempt is over, the rest of its answer is thrown away so that the connection can stay.
     */
    DISCARDING
  }

  /** What of an unwanted answer is read before the connection is given up instead. */
  private static final int MAX_DISCARDED_BYTES = 64 * 1024;

  private final Decoder decoder;
  final HttpProtocol protocol;
  private ResponseState responseState = ResponseState.NONE;
  private boolean keepAlive;
  private boolean closeDelimited;
  private int discardedBytes;

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
    responseState = ResponseState.NONE;
    keepAlive = true;
    closeDelimited = false;
    decoder.expectsNoBody = false;
  }

  /** The present request is a HEAD. */
  void expectNoBody() {
    decoder.expectsNoBody = true;
  }

  /** The present answer ends with the connection, if that ends in order. */
  private void markCloseDelimited() {
    closeDelimited = true;
  }

  /** Whether this response to the present request has no body, whatever its head says. */
  boolean hasNoBody(HttpResponse response) {
    int status = response.status().code();
    return decoder.expectsNoBody || status == 204 || status == 304;
  }

  /** Whether the end of the response can be told from its connection's. */
  boolean isDelimited(HttpResponse response) {
    HttpHeaders headers = response.headers();
    if (hasNoBody(response)) {
      return true;
    }
    boolean chunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    boolean sized = headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    if (!chunked && !sized && protocol.allowsCloseDelimited() && !HttpUtil.isKeepAlive(response)) {
      markCloseDelimited();
      return true;
    }
    return chunked != sized && (!chunked || HttpUtil.isTransferEncodingChunked(response));
  }

  @Override
  protected boolean hasResponseBytes() {
    return responseState != ResponseState.NONE;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    try {
      if (attempt() == null && responseState != ResponseState.DISCARDING) {
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
        onHead(head);
      }
      if (part instanceof HttpContent content && (channel().isOpen() || closeDelimited)) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(msg);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (attempt() != null) {
      ((HttpAttempt) attempt()).onUpstreamWritabilityChanged();
    }
  }

  private void onHead(HttpResponse head) {
    HttpStatusClass kind = head.status().codeClass();
    if (kind == HttpStatusClass.INFORMATIONAL) {
      if (head.status().code() == 101) {
        onConnectionLost(); // nobody asked for another protocol
      } else {
        responseState = ResponseState.INTERIM;
      }
      return;
    }
    int major = head.protocolVersion().majorVersion();
    HttpAttempt attempt = (HttpAttempt) attempt();
    if (major != 1
        || (responseState != ResponseState.NONE && responseState != ResponseState.INTERIM)
        || attempt == null) {
      onConnectionLost(); // no HTTP of ours, or a second answer, which belongs to no attempt
      return;
    }
    responseState = ResponseState.BODY;
    keepAlive = HttpUtil.isKeepAlive(head);
    attempt.onResponseHead(head);
  }

  private void onContent(HttpContent part) {
    boolean isLast = part instanceof LastHttpContent;
    if (responseState == ResponseState.INTERIM) {
      responseState = isLast ? ResponseState.NONE : responseState;
      return;
    }
    HttpAttempt attempt = (HttpAttempt) attempt();
    if (attempt != null) {
      attempt.onResponseContent(part);
      if (isLast && attempt() == attempt) {
        // An answer ahead of the request's last byte leaves a half-sent request behind it.
        keepAlive &= attempt.isRequestFullySent();
        onResponseEnd();
        attempt.onResponseEnd(((LastHttpContent) part).trailingHeaders());
      }
    } else {
      discardedBytes += part.content().readableBytes();
      if (isLast) {
        onResponseEnd();
      } else if (discardedBytes > MAX_DISCARDED_BYTES) {
        channel().close();
      }
    }
  }

  private void onResponseEnd() {
    responseState = ResponseState.NONE;
    boolean surplus = decoder.hasSurplusBytes();
    if (surplus) {
      onSurplusBytes();
    }
    onResponseComplete(keepAlive && !surplus);
  }

  /** The attempt has learned all it needs from the head; the connection may still be of use. */
  void discardRemainder() {
    if (attempt() != null) {
      keepAlive &= ((HttpAttempt) attempt()).isRequestFullySent();
      responseState = ResponseState.DISCARDING;
      discardedBytes = 0;
      detach(keepAlive);
    }
  }
}
