package corkproxy.http;

import corkproxy.balancer.LoadReport;
import corkproxy.balancer.Result;
import corkproxy.engine.Attempt;
import corkproxy.engine.Body;
import corkproxy.engine.Exchange;
import corkproxy.engine.Host;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** One send of an HTTP request to a host, and how its answer is read. */
final class HttpAttempt extends Attempt {
  private final HttpCall call;
  private final Runnable resume = this::resumeReading;
  private LoadReport report;
  private HttpResponse head;
  private Body body;
  private long length;

  HttpAttempt(HttpCall call, Exchange exchange, Host host, int number, double now) {
    super(exchange, host, number, now);
    this.call = call;
  }

  private HttpUpstreamConnection wire() {
    return (HttpUpstreamConnection) connection();
  }

  @Override
  protected ChannelFuture write(Channel channel) {
    if (call.isHead()) {
      wire().expectNoBody();
    }
    return call.writeTo(channel, exchange.remainingMs());
  }

  @Override
  protected LoadReport report() {
    return report;
  }

  /** The head of the final answer. */
  void head(HttpResponse reply) {
    report = Reports.read(reply.headers().get(Reports.HEADER));
    int status = reply.status().code();
    HttpProtocol protocol = wire().protocol;
    if (status == 200 || protocol.passAll() && status < 500) {
      if (!mayHaveRun()) {
        finish(Result.CONNECT_FAILED); // no host can serve what it has not been sent
      } else if (!framed(reply, protocol.maxAnswer())) {
        broken();
      } else {
        head = reply;
        length = HttpUtil.getContentLength(reply, -1L);
      }
      return;
    }
    boolean turnedAway =
        (status == 503 || status == 504) && "1".equals(reply.headers().get("X-Not-Processed"));
    wire().discardRest();
    if (status >= 400 && status < 500) {
      // A host found fault with the request itself. Guards against a client's mistake that counts
      // against the host, or is carried on to the next one: the answer is the client's.
      if (exchange.claim()) {
        call.answer(status);
      }
      finish(Result.CANCELLED);
    } else {
      finish(turnedAway ? Result.FULL : mayHaveRun() ? Result.ERROR : Result.CONNECT_FAILED);
    }
  }

  /** Whether the end of the answer can be told from its connection's, and it is no longer than any. */
  private boolean framed(HttpResponse reply, int maxAnswer) {
    HttpHeaders h = reply.headers();
    int status = reply.status().code();
    if (wire().expectsNoBody() || status == 204 || status == 304) {
      return true;
    }
    boolean chunked = h.contains(HttpHeaderNames.TRANSFER_ENCODING);
    boolean sized = h.contains(HttpHeaderNames.CONTENT_LENGTH);
    return chunked != sized
        && (!chunked || HttpUtil.isTransferEncodingChunked(reply))
        && HttpUtil.getContentLength(reply, 0L) <= maxAnswer;
  }

  /** Part of the answer's body. */
  void content(HttpContent part) {
    int n = part.content().readableBytes();
    if (n == 0) {
      return;
    }
    if (body == null) {
      body = dispatcher().newBody(length, false);
    }
    if (body.size() + n > wire().protocol.maxAnswer()) {
      broken(); // no answer is so long: this one would never end
      return;
    }
    body.append(part.content());
    if (dispatcher().budget().full(body.size())) {
      connection().channel().config().setAutoRead(false);
      dispatcher().budget().await(resume);
    }
  }

  /** Memory is free again. */
  private void resumeReading() {
    if (!over() && connection() != null) {
      connection().channel().config().setAutoRead(true);
    }
  }

  /** The answer is whole. */
  void end() {
    Body whole = body;
    body = null;
    if (exchange.claim()) {
      call.served(head, whole);
    } else if (whole != null) {
      whole.free();
    }
    finish(Result.OK);
  }

  /** A spoilt answer: a failed attempt that may have run, and whose report is as good as it is. */
  @Override
  protected void broken() {
    report = null;
    super.broken();
  }

  @Override
  protected void release() {
    dispatcher().budget().forget(resume);
    if (body != null) {
      body.free();
      body = null;
    }
  }
}
