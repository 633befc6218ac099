package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import leadferry.engine.SocketSlack;
import leadferry.engine.Transport;

/**
 * A connection of the application's, from its opening to its end: which request it is at, what was
 * sent ahead of an answer, when it has to go. {@link RequestIntake} reads requests, {@link
 * ResponseWriter} writes answers.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  /** Part of a request that came while another was open, and when (ns). */
  private record Held(HttpObject part, long at) {}

  /** Ages (ns) from which those that have sent nothing, or not all, may have to make room. */
  private static final long SILENT_NANOS = 50_000_000L;

  private static final long PARTIAL_NANOS = 500_000_000L;

  /** How long (ms) the end of a rejected message is awaited, so that its client sees its answer. */
  private static final long LINGER_MS = 500;

  /** What is thrown away (bytes) between two sweeps of what a client sends ahead of its answer. */
  private static final int AHEAD_BYTES = 1 << 20;

  /** Clients that are sent away: how long (ns) a request that was on its way may take to come. */
  private static final long AWAY_NANOS = 500_000_000L;

  private static final long AWAY_SILENT_NANOS = 1_500_000_000L;

  private final HttpServer front;
  private final SocketChannel channel;
  private final RequestDecoder decoder;
  private final ResponseWriter answers;
  private final RequestIntake intake;
  private final RequestLog log;
  private final long openedAt = System.nanoTime();
  private final long letInAt;
  private final long slowNanos;
  private final ArrayDeque<Held> held = new ArrayDeque<>(0);
  private int heldRequests;
  private boolean drainsHeld;
  private HttpCall call;
  private boolean spoken;
  private boolean closing;
  private boolean ahead;
  private int aheadBytes;
  private boolean rejected;
  private boolean over;
  private boolean told;
  private long idleSince;

  /**
   * {@code letInAt} (ns) is the earliest at which it can have been let in: its client may have
   * written since then.
   */
  ClientConnection(HttpServer front, SocketChannel channel, RequestDecoder decoder, long letInAt) {
    this.front = front;
    this.letInAt = letInAt;
    this.channel = channel;
    this.decoder = decoder;
    this.log = new RequestLog(front.log(), channel);
    this.answers = new ResponseWriter(this, front, channel);
    this.intake = new RequestIntake(this, front, channel, decoder, answers);
    this.slowNanos = front.settings().slowMs() * 1_000_000L;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    front.opened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    HttpCall c = call;
    if (c != null && !c.exchange().answered()) {
      tell("client-gone", null);
    }
    letGo();
    intake.close();
    dropHeld();
    front.closed(this);
    if (c != null) {
      c.exchange().clientGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      front.log().failure("a client's connection failed", cause);
      if (call != null) {
        call.exchange().abandon();
      }
    } else {
      log.failed(cause, call);
    }
    channel.close();
  }

  // --- reading

  /**
   * When (ns) what is read now can have come at the earliest, less what every time limit is longer
   * by. Guards against a late loop: a request's time counts from its last byte, and one that stood
   * in the kernel for longer than its client waits is not sent on, nor answered when all of its
   * time has gone by once more. It does harm where a stop was shorter than it looks, by a refusal.
   */
  private long cameAt() {
    long earliest =
        decoder.firstLook()
            ? Math.min(HttpServer.heard(), letInAt)
            : Math.max(HttpServer.heard(), idleSince);
    return Math.min(System.nanoTime(), earliest + SocketSlack.NANOS);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    try {
      if (rejected || over) {
        intake.discard(msg);
      } else if (ahead) {
        passOver(msg);
      } else if (intake.skipping()) {
        idleSince = System.nanoTime();
        intake.skip((HttpObject) msg);
      } else if (intake.upload() != null || (call == null && held.isEmpty())) {
        intake.take((HttpObject) msg, cameAt());
      } else if (front.settings().pipeline() > 1) {
        hold((HttpObject) msg);
      } else {
        sentAhead();
      }
    } finally {
      ReferenceCountUtil.release(msg);
    }
  }

  /**
   * Keeps part of a request that was sent ahead of an answer. Requests of one connection are taken
   * one after the other, so their answers go out in order by themselves; what is held is bounded by
   * number, and in bytes by one read, since none follows until it is worked off.
   */
  private void hold(HttpObject part) {
    channel.config().setAutoRead(false);
    held.add(new Held(ReferenceCountUtil.retain(part), cameAt()));
    if (part instanceof LastHttpContent && ++heldRequests >= front.settings().pipeline() - 1) {
      decoder.hold();
    }
  }

  /** The answer has gone: takes up what was sent ahead, on the loop's next turn. */
  private void workOffHeld() {
    if (!drainsHeld && (!held.isEmpty() || decoder.holds() || !channel.config().isAutoRead())) {
      drainsHeld = true;
      channel.eventLoop().execute(this::takeHeld);
    }
  }

  private void takeHeld() {
    drainsHeld = false;
    Held next;
    while (call == null && takes() && (next = held.poll()) != null) {
      if (next.part() instanceof LastHttpContent) {
        heldRequests--;
      }
      try {
        intake.take(next.part(), next.at());
      } finally {
        ReferenceCountUtil.release(next.part());
      }
    }
    if (call == null && held.isEmpty() && takes() && channel.isActive()) {
      if (decoder.active()) {
        try {
          decoder.resume(channel.pipeline().context(decoder));
        } catch (Exception e) {
          exceptionCaught(channel.pipeline().context(this), e);
        }
      }
      if (call == null && held.isEmpty() && !intake.paused()) {
        channel.config().setAutoRead(true);
      }
    }
  }

  private void dropHeld() {
    Held next;
    while ((next = held.poll()) != null) {
      ReferenceCountUtil.release(next.part());
    }
    heldRequests = 0;
  }

  // --- the present request, as told by those that read it and answer it

  /** Whether requests are taken still. */
  boolean takes() {
    return !rejected && !over;
  }

  /** The head of a request has come; {@code last} tells that its client wants no other after it. */
  void began(boolean last) {
    closing = last;
  }

  /**
   * The client has sent a request, or as much of one as it takes to believe it; whether it is the
   * first.
   */
  boolean spoke() {
    boolean first = !spoken;
    spoken = true;
    return first;
  }

  /**
   * More has come than the present request. Guards against floods of requests sent at once: clients
   * send one at a time, so what comes ahead of an answer is thrown away, and the connection ends
   * with that answer. It is read all the same, at a bounded rate: where nobody reads, nobody sees
   * that the client has gone, and its request would be sent on.
   */
  void sentAhead() {
    closing = true;
    ahead = true;
    undecoded();
  }

  private void passOver(Object msg) {
    aheadBytes += msg instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    if (aheadBytes > AHEAD_BYTES) {
      aheadBytes = 0;
      channel.config().setAutoRead(false); // until the next sweep
    }
  }

  /**
   * Whether the client has gone already, of whom a whole request has come; then its connection ends
   * here. Guards against a queue of requests that nobody waits for any more: after a pause, or in a
   * crowd, those that were given up stand ahead of those that can still be answered, and what is
   * done for them makes the others late. It costs a look at the socket.
   */
  boolean endsUnread() {
    Transport.End end =
        ahead ? front.transport().endBehind(channel) : front.transport().end(channel);
    if (end == Transport.End.LOST_BYTE) {
      sentAhead();
      end = front.transport().endBehind(channel); // it may have sent much at once and gone
    }
    if (end != Transport.End.ENDED) {
      return false;
    }
    tell("client-gone", null);
    channel.close();
    return true;
  }

  /**
   * The same, at any time: where requests may be sent ahead, only if the look can't lose a byte of
   * the next.
   */
  boolean abandoned() {
    return (!front.settings().daemon() || front.transport().looksOnly()) && endsUnread();
  }

  /** The engine is about to take the request. */
  void carries(HttpCall next) {
    call = next;
    front.carries();
  }

  private void letGo() {
    if (call != null) {
      call = null;
      front.carried();
    }
  }

  /** What the engine has, or null. */
  HttpCall call() {
    return call;
  }

  boolean oldVersion() {
    return intake.oldVersion();
  }

  /** Decides whether the answer that is about to go out is the connection's last. */
  boolean endsWithThisAnswer() {
    // What a client has sent ahead is answered before it is asked to leave; what has not come whole
    // by
    // the time of an answer can't be told from the next request.
    closing |=
        ((front.draining() || front.crowded()) && heldRequests == 0)
            || (intake.upload() != null && !intake.skips());
    return closing;
  }

  /**
   * The answer is on its way; true if the connection stays, and nothing of the request comes any
   * more.
   */
  boolean answered(ChannelFuture written) {
    letGo();
    intake.answered();
    idleSince = System.nanoTime();
    if (intake.skipping()) {
      channel.config().setAutoRead(true);
      return false;
    }
    if (closing) {
      over = true;
      dropHeld();
      channel.config().setAutoRead(true);
      written.addListener(f -> linger());
      return false;
    }
    workOffHeld();
    return true;
  }

  /** The rest of a request that was answered early has come. */
  void skipped() {
    if (closing) {
      over = true;
      linger();
    }
  }

  /** Nothing more is taken, and nothing more is written. */
  void ended() {
    over = true;
  }

  /** Answers what can't be a request and ends the connection. */
  void reject(int status) {
    tell(status);
    told = true;
    intake.drop();
    dropHeld();
    closing = true;
    if (call != null) {
      call.exchange().abandon(); // its body can't be read to its end; this answers, once
      if (call != null) {
        answers.cut(); // an answer that has begun
      } else {
        stopDecoding();
      }
      return;
    }
    stopDecoding();
    answers.answer(status, 0);
  }

  /** From here on whatever comes is thrown away unread: it may be much, or no HTTP at all. */
  private void stopDecoding() {
    rejected = true;
    undecoded();
    channel.config().setAutoRead(true);
  }

  private void undecoded() {
    if (decoder.active()) {
      channel.pipeline().remove(decoder);
    }
  }

  /**
   * Closes after an answer. Guards against a reset that overtakes it: a close while bytes are
   * unread would be one, so the sending ends first and what still comes is thrown away.
   */
  private void linger() {
    if (!channel.isActive()) {
      return;
    }
    stopDecoding();
    channel.shutdownOutput();
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (call != null && channel.isWritable()) {
      answers.writable();
      call.writable();
    }
  }

  // --- the log

  /**
   * An answer of our own is about to go out: tells why, unless it is the answer to a question of
   * health.
   */
  void tell(int status) {
    FilterResult v = intake.verdict();
    boolean health = v != null && v.status() == status && v.origin() == null && !v.closes();
    if (!health && !told) {
      tell(RequestLog.outcome(status), status);
    }
  }

  /**
   * Tells what became of the present request, where it was not served; {@code status} may be null.
   */
  void tell(String outcome, Integer status) {
    FilterResult v = intake.verdict();
    log.request(outcome, status, call, v, v == null ? decoder.since() : intake.since());
  }

  // --- upkeep

  /** Whether it carries a request, or part of one, or an answer that is not written yet. */
  boolean busy() {
    return call != null || !held.isEmpty() || decoder.receiving() || answers.writing() || closing;
  }

  /** Whether a request may be on its way that was sent before the client could know of a drain. */
  boolean fresh() {
    return !spoken && System.nanoTime() - openedAt < slowNanos;
  }

  /**
   * Whether it can be closed where no more is expected: it carries nothing, and who is new had time
   * to speak.
   */
  boolean clearable(long now) {
    return !busy() && (spoken || now - openedAt > SILENT_NANOS);
  }

  /** There is no more time: what is open has its answer now, and what comes still is none. */
  void giveUp() {
    if (call != null) {
      closing = true;
      call.exchange().abandon();
    } else if (takes() && decoder.receiving()) {
      reject(503);
    }
  }

  /** Closes it at once, for a reason that the log tells. */
  void close(CloseReason reason) {
    log.closed(reason, call);
    channel.close();
  }

  /**
   * How readily it makes room for another, 0 first, or -1 if it may not. What was answered and only
   * lingers goes first, then what has never spoken: usual clients speak as soon as they connect.
   */
  int dispensable(long now) {
    if (call != null || answers.writing() || !channel.isOpen()) {
      return -1; // in use, or closed already and only not yet taken off the list
    }
    if (rejected) {
      return 0;
    }
    if (decoder.receiving()) {
      return now - receivingSince() > PARTIAL_NANOS ? 3 : -1;
    }
    if (!spoken) {
      return now - openedAt > SILENT_NANOS ? 1 : -1;
    }
    return now - idleSince > front.settings().idleLeastMs() * 1_000_000L ? 2 : -1;
  }

  /**
   * Whether its client is sent away and has had time to use it once more. The daemon closes none
   * for that: its next answer asks to leave, and a request that crosses a close would be lost.
   */
  private boolean away(long now) {
    long since = front.settings().daemon() ? 0 : front.awaySince();
    return since != 0
        && (spoken
            ? now - Math.max(idleSince, since) > AWAY_NANOS
            : now - Math.max(openedAt, since) > AWAY_SILENT_NANOS);
  }

  /** What the body that comes may take besides: who sends it slowly but steadily is in time. */
  private long bodyNanos() {
    int rate = front.settings().bodyRate();
    return rate == 0 ? 0 : intake.bodySize() * 1_000_000_000L / rate;
  }

  private long receivingSince() {
    return spoken ? decoder.since() : openedAt;
  }

  /** Ends what has come to nothing; a few times a second. */
  void sweep(long now) {
    if (ahead && !over) {
      channel.config().setAutoRead(true);
    }
    if (call != null && intake.upload() != null && intake.upload().stalled(now, slowNanos)) {
      call.exchange().abandon(); // a body that does not come
    } else if (answers.still(now)) {
      answers.cut();
    } else if (!rejected && call == null) {
      sweepIdle(now);
    }
  }

  private void sweepIdle(long now) {
    if (intake.skipping()) {
      closeIf(now - idleSince > slowNanos, CloseReason.SLOW);
    } else if (answers.writing()) {
      closeIf(answers.stalled(now), CloseReason.STALLED);
    } else if (decoder.receiving()) {
      if (now - receivingSince() > slowNanos + bodyNanos()) {
        reject(intake.paused() ? 503 : 408);
      }
    } else {
      long idleNanos = front.settings().idleMostMs() * 1_000_000L;
      closeIf(away(now), CloseReason.DRAINING);
      closeIf(spoken ? now - idleSince > idleNanos : now - openedAt > slowNanos, CloseReason.IDLE);
    }
  }

  private void closeIf(boolean due, CloseReason reason) {
    if (due && channel.isOpen()) {
      close(reason);
    }
  }
}
