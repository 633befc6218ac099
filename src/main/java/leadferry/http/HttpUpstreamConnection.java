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

/** HTTP/1.1 connection to an upstream host. */
final class HttpUpstreamConnection extends UpstreamConnection {
  /** Response decoder that detects bytes behind the end of a response. */
  static final class Decoder extends HttpResponseDecoder {
    private boolean expectsNoBody;
    private int fieldCount;

    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    boolean hasSurplusBytes() {
      return actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
      fieldCount = 0;
      return super.createMessage(initialLine);
    }

    /**
     * Rejects a header line without a name or colon. Guards against malformed heads: netty ends a
     * name at white space, even without a colon.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
      if (length == 0 || line[start + length] != ':') {
        throw new IllegalArgumentException("header line: missing name or colon");
      }
      if (++fieldCount > HeadBudget.MAX_FIELDS) {
        throw new IllegalArgumentException("head: too many fields");
      }
      return super.splitHeaderName(line, start, length);
    }

    /**
     * Whether the response has no body: the response to a HEAD request has none, whatever length
     * its head announces (RFC 9112, 6.3).
     */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return super.isContentAlwaysEmpty(message) || expectsNoBody;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      // Guards against a response with two lengths: netty would drop one of them, and it may be the
      // correct one.
      throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
    }
  }

  private enum ResponseState {
    NONE,
    INTERIM,
    /** The host sent something that can't be a response to the request. */
    MALFORMED,
    BODY,
    /**
     * The attempt is over; the remaining response is discarded so that the connection can be
     * reused.
     */
    DISCARDING
  }

  /**
   * Maximum number of bytes of a response that are discarded before the connection is closed
   * instead.
   */
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

  /** Marks the current request as a HEAD, whose response has no body. */
  void expectNoBody() {
    decoder.expectsNoBody = true;
  }

  /** Marks the current response as delimited by an orderly close of the connection. */
  private void markCloseDelimited() {
    closeDelimited = true;
  }

  /** Whether this response has no body, whatever its head announces. */
  boolean hasNoBody(HttpResponse response) {
    int status = response.status().code();
    return decoder.expectsNoBody || status == 204 || status == 304;
  }

  /**
   * Whether the end of the response can be determined: from its head, or from the close of the
   * connection if the protocol allows that.
   */
  boolean isDelimited(HttpResponse response) {
    HttpHeaders headers = response.headers();
    if (hasNoBody(response)) {
      return true;
    }
    boolean isChunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    boolean hasLength = headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    if (!isChunked
        && !hasLength
        && protocol.allowsCloseDelimited()
        && !HttpUtil.isKeepAlive(response)) {
      markCloseDelimited();
      return true;
    }
    return isChunked != hasLength && (!isChunked || HttpUtil.isTransferEncodingChunked(response));
  }

  @Override
  protected boolean hasResponseBytes() {
    return responseState != ResponseState.NONE;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (attempt() == null && responseState != ResponseState.DISCARDING) {
        // Guards against surplus bytes of one response that would be read as the next response.
        onSurplusBytes();
        return;
      }
      HttpObject part = (HttpObject) message;
      if (part.decoderResult().isFailure()) {
        onMalformedResponse();
        return;
      }
      if (part instanceof HttpResponse head) {
        onHead(head);
      }
      if (part instanceof HttpContent content && (channel().isOpen() || closeDelimited)) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (attempt() != null) {
      ((HttpAttempt) attempt()).onUpstreamWritabilityChanged();
    }
  }

  /**
   * Closes the connection. Guards against a host that is taken to have closed an idle connection,
   * which would lower its idle limit: it has responded, though not well.
   */
  private void onMalformedResponse() {
    responseState = ResponseState.MALFORMED;
    onConnectionLost();
  }

  private void onHead(HttpResponse head) {
    HttpStatusClass statusClass = head.status().codeClass();
    if (statusClass == HttpStatusClass.INFORMATIONAL) {
      if (head.status().code() == 101) {
        onMalformedResponse(); // no upgrade was requested
      } else {
        responseState = ResponseState.INTERIM;
      }
      return;
    }
    int majorVersion = head.protocolVersion().majorVersion();
    HttpAttempt attempt = (HttpAttempt) attempt();
    if (majorVersion != 1
        || (responseState != ResponseState.NONE && responseState != ResponseState.INTERIM)
        || attempt == null) {
      // The HTTP version is unsupported, or a second response belongs to no attempt.
      onMalformedResponse();
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
        // A response that ends before the last byte of its request leaves an incomplete request on
        // the connection.
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
    boolean hasSurplus = decoder.hasSurplusBytes();
    if (hasSurplus) {
      onSurplusBytes();
    }
    onResponseComplete(keepAlive && !hasSurplus);
  }

  /**
   * Discards the remaining response after its head has settled the attempt; the connection may
   * still be reusable.
   */
  void discardRemainder() {
    if (attempt() != null) {
      keepAlive &= ((HttpAttempt) attempt()).isRequestFullySent();
      responseState = ResponseState.DISCARDING;
      discardedBytes = 0;
      detach(keepAlive);
    }
  }
}
