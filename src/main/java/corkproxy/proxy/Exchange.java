package corkproxy.proxy;

import corkproxy.balancer.LoadReport;
import corkproxy.balancer.Result;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One client request, from its last byte on. The only place that gives a final answer, and it
 * gives exactly one; holds the deadline, the request and its attempts.
 */
final class Exchange {
  final long id;
  private final Dispatcher dispatcher;
  private final ClientConnection client;
  private final HttpRequest head;
  private final Body body;
  private final double deadlineAt;
  private final List<Attempt> attempts = new ArrayList<>(2);
  private final List<Future<?>> timers = new ArrayList<>(2);
  private int open;
  private boolean answered;

  Exchange(
      long id,
      Dispatcher dispatcher,
      ClientConnection client,
      HttpRequest head,
      Body body,
      double deadlineAt) {
    this.id = id;
    this.dispatcher = dispatcher;
    this.client = client;
    this.head = head;
    this.body = body;
    this.deadlineAt = deadlineAt;
    Headers.dropHopByHop(head.headers());
    if (body != null) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size());
    }
    head.headers().remove(HttpHeaderNames.EXPECT);
    later(deadlineAt - dispatcher.now(), this::timeUp);
  }

  /** Runs something later unless the request and its attempts are all over by then. */
  void later(double delay, Runnable what) {
    long nanos = Math.max(0, (long) (delay * 1e6));
    timers.add(dispatcher.loop().schedule(what, nanos, TimeUnit.NANOSECONDS));
  }

  boolean answered() {
    return answered;
  }

  // --- attempts

  void send(Host host, double giveUpAfter) {
    Attempt a = new Attempt(this, dispatcher, host, attempts.size(), dispatcher.now());
    attempts.add(a);
    open++;
    if (answered
        || !host.sendable
        || attempts.size() > dispatcher.maxAttempts()
        || giveUpAfter < 0
        || dispatcher.now() >= deadlineAt) {
      host.calls++;
      a.moot();
    } else {
      a.start(giveUpAfter);
    }
  }

  void cancel(int number) {
    attempts.get(number).cancel();
  }

  ChannelFuture writeTo(Channel channel) {
    HttpHeaders h = head.headers();
    h.set("X-Timeout-Ms", Math.max(1, (long) (deadlineAt - dispatcher.now())));
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

  void attemptEnded(Attempt a, Result result, double spent, LoadReport report) {
    open--;
    dispatcher.outcome(this, a.number(), result, spent, answered, report);
    forgetIfDone();
  }

  // --- the one final answer

  void refuse(double coolDown) {
    if (answer()) {
      client.answer(503, coolDown);
      forgetIfDone();
    }
  }

  void fail() {
    if (answer()) {
      client.answer(dispatcher.now() >= deadlineAt ? 504 : 502, 0);
      forgetIfDone();
    }
  }

  void served(HttpResponse reply, Body whole) {
    if (answer()) {
      client.answer(reply, whole);
    } else if (whole != null) {
      whole.free();
    }
  }

  /**
   * A host found fault with the request itself. Guards against a client's mistake that counts
   * against the host, or is carried on to the next one: the answer is the client's.
   */
  void faulted(int status) {
    if (answer()) {
      client.answer(status, 0);
    }
  }

  private boolean answer() {
    boolean first = !answered;
    answered = true;
    return first;
  }

  // --- ends

  /** The client has gone before its answer. */
  void clientGone() {
    if (answered) {
      return;
    }
    answered = true;
    dispatcher.clientGone(this);
    forgetIfDone();
  }

  private void timeUp() {
    for (int i = 0; i < attempts.size(); i++) {
      if (attempts.get(i).open()) {
        attempts.get(i).timeUp();
      }
    }
    if (!answered) {
      fail(); // the module holds it still: the client's time is up all the same
      dispatcher.clientGone(this);
    }
  }

  private void forgetIfDone() {
    if (answered && open == 0) {
      for (int i = 0; i < timers.size(); i++) {
        timers.get(i).cancel(false);
      }
      timers.clear();
      if (body != null) {
        body.free();
      }
      dispatcher.forget(this);
    }
  }
}
