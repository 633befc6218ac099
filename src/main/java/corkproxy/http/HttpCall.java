package corkproxy.http;

import corkproxy.engine.Attempt;
import corkproxy.engine.Body;
import corkproxy.engine.Call;
import corkproxy.engine.Exchange;
import corkproxy.engine.Host;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** An HTTP request that has come whole, kept until its last attempt is over. */
final class HttpCall implements Call {
  private final ClientConnection client;
  private final HttpRequest head;
  private final Body body;
  private Exchange exchange;

  HttpCall(ClientConnection client, HttpRequest head, Body body) {
    this.client = client;
    this.head = head;
    this.body = body;
    Headers.dropHopByHop(head.headers());
    if (body != null) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size());
    }
    head.headers().remove(HttpHeaderNames.EXPECT);
  }

  @Override
  public void carriedBy(Exchange by) {
    exchange = by;
  }

  Exchange exchange() {
    return exchange;
  }

  boolean isHead() {
    return head.method().equals(HttpMethod.HEAD);
  }

  @Override
  public Attempt attempt(Exchange by, Host host, int number, double now) {
    return new HttpAttempt(this, by, host, number, now);
  }

  ChannelFuture writeTo(Channel channel, long remainingMs) {
    HttpHeaders h = head.headers();
    h.set("X-Timeout-Ms", remainingMs);
    if (body == null || body.size() == 0) {
      return channel.writeAndFlush(
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              head.method(),
              head.uri(),
              Unpooled.EMPTY_BUFFER,
              h,
              Headers.NONE));
    }
    List<ByteBuf> blocks = body.retained();
    if (blocks.size() == 1) {
      return channel.writeAndFlush(
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, head.method(), head.uri(), blocks.get(0), h, Headers.NONE));
    }
    channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), h));
    for (ByteBuf b : blocks) {
      channel.write(new DefaultHttpContent(b));
    }
    return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  void served(HttpResponse reply, Body whole) {
    client.answer(reply, whole);
  }

  void answer(int status) {
    client.answer(status, 0);
  }

  @Override
  public void refused(double coolDownMs) {
    client.answer(503, coolDownMs);
  }

  @Override
  public void failed(boolean timeUp) {
    client.answer(timeUp ? 504 : 502, 0);
  }

  @Override
  public void free() {
    if (body != null) {
      body.free();
    }
  }
}
