package corkproxy.proxy;

import corkproxy.balancer.LoadReport;
import corkproxy.balancer.Result;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** One send of a request to a host; it ends with exactly one outcome. */
final class Attempt extends UpstreamCall {
  private final Exchange exchange;
  private final Dispatcher dispatcher;
  private final int number;
  private final double sentAt;
  private final Runnable resume = this::resumeReading;
  private Future<?> giveUp;
  private LoadReport report;
  private HttpResponse head;
  private Body body;
  private long length;
  private boolean over;

  Attempt(Exchange exchange, Dispatcher dispatcher, Host host, int number, double sentAt) {
    super(host);
    this.exchange = exchange;
    this.dispatcher = dispatcher;
    this.number = number;
    this.sentAt = sentAt;
  }

  /** Starts it; {@code giveUpAfter} 0 leaves the request's own deadline as its only one. */
  void start(double giveUpAfter) {
    host.calls++;
    if (giveUpAfter > 0) {
      giveUp =
          dispatcher.loop().schedule(this::timeUp, (long) (giveUpAfter * 1e6), TimeUnit.NANOSECONDS);
    }
    dispatcher.upstreams().start(this);
  }

  boolean open() {
    return !over;
  }

  int number() {
    return number;
  }

  @Override
  ChannelFuture write(Channel channel) {
    return exchange.writeTo(channel);
  }

  @Override
  void notSent() {
    finish(Result.CONNECT_FAILED);
  }

  @Override
  void moot() {
    finish(Result.MOOT);
  }

  /** Nobody waits any longer. What was not written whole never ran, whatever it waited for. */
  void timeUp() {
    finish(mayHaveRun() ? Result.TIMEOUT : Result.MOOT);
  }

  void cancel() {
    finish(mayHaveRun() ? Result.CANCELLED : Result.MOOT);
  }

  @Override
  void head(HttpResponse reply) {
    report = Reports.read(reply.headers().get(Reports.HEADER));
    int status = reply.status().code();
    if (status == 200) {
      if (!mayHaveRun()) {
        finish(Result.CONNECT_FAILED); // no host can serve what it has not been sent
      } else if (!framed(reply)) {
        broken();
      } else {
        head = reply;
        length = HttpUtil.getContentLength(reply, -1L);
      }
      return;
    }
    boolean turnedAway =
        (status == 503 || status == 504) && "1".equals(reply.headers().get("X-Not-Processed"));
    connection().discardRest();
    if (status >= 400 && status < 500) {
      exchange.faulted(status);
      finish(Result.CANCELLED);
    } else {
      finish(turnedAway ? Result.FULL : mayHaveRun() ? Result.ERROR : Result.CONNECT_FAILED);
    }
  }

  /** Whether the end of the answer can be told from its connection's, and it is no longer than any. */
  private static boolean framed(HttpResponse reply) {
    HttpHeaders h = reply.headers();
    boolean chunked = h.contains(HttpHeaderNames.TRANSFER_ENCODING);
    boolean sized = h.contains(HttpHeaderNames.CONTENT_LENGTH);
    return chunked != sized
        && (!chunked || HttpUtil.isTransferEncodingChunked(reply))
        && HttpUtil.getContentLength(reply, 0L) <= RequestCheck.MAX_BODY;
  }

  @Override
  void content(HttpContent part) {
    int n = part.content().readableBytes();
    if (n == 0) {
      return;
    }
    if (body == null) {
      body = dispatcher.newBody(length, false);
    }
    if (body.size() + n > RequestCheck.MAX_BODY) {
      broken(); // no answer is so long: this one would never end
      return;
    }
    body.append(part.content());
    if (dispatcher.budget().full(body.size())) {
      connection().channel().config().setAutoRead(false);
      dispatcher.budget().await(resume);
    }
  }

  /** Memory is free again. */
  private void resumeReading() {
    if (!over && connection() != null) {
      connection().channel().config().setAutoRead(true);
    }
  }

  @Override
  void end() {
    Body whole = body;
    body = null;
    exchange.served(head, whole);
    finish(Result.OK);
  }

  /** A spoilt answer: a failed attempt that may have run, and whose report is as good as it is. */
  @Override
  void broken() {
    report = null;
    finish(Result.RESET);
  }

  private void finish(Result result) {
    if (over) {
      return;
    }
    over = true;
    host.calls--;
    if (giveUp != null) {
      giveUp.cancel(false);
    }
    dispatcher.budget().forget(resume);
    if (body != null) {
      body.free();
      body = null;
    }
    dispatcher.upstreams().end(this);
    exchange.attemptEnded(this, result, dispatcher.now() - sentAt, report);
  }
}
