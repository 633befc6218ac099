package corkproxy.proxy;

import corkproxy.balancer.LoadReport;
import corkproxy.balancer.Result;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;
import io.netty.util.concurrent.Future;

/** One send of a request to a host; it ends with exactly one outcome. */
final class Attempt extends UpstreamCall {
  /** A reply that is larger is malformed. */
  private static final long MAX_BODY = 32L << 20;

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
  private long passed;
  private boolean streaming;
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

  boolean streaming() {
    return streaming;
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
    if (!streaming) {
      finish(mayHaveRun() ? Result.CANCELLED : Result.MOOT);
    }
  }

  /** The client of a streamed answer has gone. */
  void clientGone() {
    finish(Result.CANCELLED);
  }

  @Override
  void head(HttpResponse reply) {
    report = Reports.read(reply.headers().get(Reports.HEADER));
    int status = reply.status().code();
    if (status == 200) {
      if (!mayHaveRun()) {
        finish(Result.CONNECT_FAILED); // no host can serve what it has not been sent
        return;
      }
      head = reply;
      length = HttpUtil.getContentLength(reply, -1L);
      return;
    }
    boolean turnedAway =
        (status == 503 || status == 504) && "1".equals(reply.headers().get("X-Not-Processed"));
    connection().discardRest();
    finish(turnedAway ? Result.FULL : mayHaveRun() ? Result.ERROR : Result.CONNECT_FAILED);
  }

  @Override
  void content(HttpContent part) {
    int n = part.content().readableBytes();
    passed += n;
    if (passed > MAX_BODY) {
      broken();
      return;
    }
    if (!streaming && n > 0 && Math.max(length, passed) > BodyBudget.SMALL) {
      streaming = true;
      exchange.beginStream(this, head, length, body);
      body = null;
      dispatcher.firstByte(exchange, number, dispatcher.now() - sentAt);
    }
    if (streaming) {
      if (!over) {
        exchange.streamPart(part);
      }
      return;
    }
    if (n > 0) {
      if (body == null) {
        body = dispatcher.newBody(length, false);
      }
      body.append(part.content());
      if (dispatcher.budget().full(body.size())) {
        connection().channel().config().setAutoRead(false);
        dispatcher.budget().await(resume);
      }
    }
  }

  @Override
  void readComplete() {
    // Guards against a client that reads slowly: what it does not take stays with the host.
    if (streaming && !exchange.flushStream()) {
      connection().channel().config().setAutoRead(false);
    }
  }

  /** The client takes more, or memory is free again. */
  void resumeReading() {
    if (!over && connection() != null) {
      connection().channel().config().setAutoRead(true);
    }
  }

  @Override
  void end() {
    if (streaming) {
      exchange.endStream();
    } else {
      Body whole = body;
      body = null;
      exchange.served(head, whole);
    }
    finish(Result.OK);
  }

  @Override
  void broken() {
    if (streaming) {
      exchange.cutStream();
    }
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
