package leadferry.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import leadferry.engine.UpstreamHosts;

/**
 * HTTP connection to discovery that sends requests and reads the endpoint lists of the responses.
 * {@link DiscoveryWatch} handles what was read, for its open connections only. Confined to the
 * event loop.
 */
final class DiscoveryConnection extends ChannelInboundHandlerAdapter {
  private static final String LIST_PATH = "/catalog/members";
  private static final String CHANGES_QUERY = "?follow=1&since=";

  private final DiscoveryWatch watch;
  private final int number;
  private final InetSocketAddress address;
  private final Channel channel;
  private final EndpointListFramer framer = new EndpointListFramer();
  private final long beginNanos = System.nanoTime();
  private long lastMessageNanos = beginNanos;
  private boolean followsChanges;

  DiscoveryConnection(
      DiscoveryWatch watch, int number, InetSocketAddress address, Channel channel) {
    this.watch = watch;
    this.number = number;
    this.address = address;
    this.channel = channel;
  }

  /** Returns the number of this call in the trace. */
  int number() {
    return number;
  }

  /** Installs the HTTP codec; called once the channel is connected. */
  void open() {
    channel.pipeline().addLast(new HttpResponseDecoder(), new HttpRequestEncoder(), this);
  }

  void close() {
    channel.close();
  }

  /** Requests the full list, in a response that ends with it. */
  void requestList() {
    followsChanges = false;
    request(LIST_PATH);
  }

  /**
   * Requests all changes after {@code version}, in a response that stays open for later changes.
   */
  void requestChangesSince(long version) {
    followsChanges = true;
    request(LIST_PATH + CHANGES_QUERY + version);
  }

  private void request(String uri) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
    request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
    channel.writeAndFlush(request);
  }

  /** Returns the time (ns) at which this call began. */
  long beginNanos() {
    return beginNanos;
  }

  /**
   * Returns the time (ns) at which the last complete message was read, or at which this call began.
   */
  long lastMessageNanos() {
    return lastMessageNanos;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (watch.isOpen(this)) {
        readPart((HttpObject) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readPart(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      fail("malformed answer");
    } else if (part instanceof HttpResponse head
        && head.status().code() != HttpResponseStatus.OK.code()) {
      fail("answered " + head.status().code());
    } else if (part instanceof HttpResponse) {
      watch.onResponseHead(this);
    } else if (part instanceof HttpContent content) {
      readContent(content.content());
      if (part instanceof LastHttpContent && watch.isOpen(this)) {
        endResponse();
      }
    }
  }

  private void readContent(ByteBuf bytes) {
    while (bytes.isReadable() && watch.isOpen(this)) {
      switch (framer.read(bytes)) {
        case INCOMPLETE -> {}
        case EMPTY_LINE -> {
          lastMessageNanos = System.nanoTime();
          watch.onUnchanged(this);
        }
        case LIST -> readList();
        case TRUNCATED_LIST -> fail("can't be understood: a list that is cut");
        case TOO_LONG -> fail("list exceeds the maximum size");
      }
    }
  }

  private void readList() {
    try {
      UpstreamHosts.ListUpdate list = framer.takeList();
      lastMessageNanos = System.nanoTime();
      watch.onList(this, list);
    } catch (MalformedEndpointListException e) {
      // The last valid list stays in force; the next connection requests the changes of this one
      // again.
      fail("can't be understood: " + e.getMessage());
    }
  }

  private void endResponse() {
    if (!followsChanges && !framer.isEmpty()) {
      readList(); // The last line of a full list may lack its line feed.
    }
    if (watch.isOpen(this)) {
      watch.onResponseEnd(this, followsChanges);
    }
  }

  private void fail(String reason) {
    watch.onFailure(this, reason);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail("closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    watch.onException(this, cause);
  }
}
