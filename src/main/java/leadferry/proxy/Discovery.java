package leadferry.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import leadferry.engine.Addresses;
import leadferry.engine.Dispatcher;
import leadferry.engine.Log;
import leadferry.engine.ReadHorizon;
import leadferry.engine.RetryingSocketChannel;
import leadferry.engine.UpstreamHosts;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.EndpointUpdate;

/**
 * The watch on the list of hosts. It resumes from the last version that was applied, so that a
 * break loses no change; at another discovery, whose versions may count otherwise, it begins with
 * the whole list.
 */
final class Discovery {
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /**
   * A watch says something every 2 s; one silent for longer than this (ns) is broken. Guards
   * against half-open watches: what they would have told counts as told after 6 s, and a new one
   * has to be open and heard by then. It does harm where discovery itself is slow by a second.
   */
  private static final long SILENCE_NANOS = 3_000_000_000L;

  /**
   * An agent on the same machine answers at once what it is asked; one that has said nothing at all
   * for so long (ns) is asked anew, once. Guards against a replacement that is silent as well: with
   * the watch's own silence twice, 6 s would be over.
   */
  private static final long OPENING_NANOS = 1_000_000_000L;

  /** What has been asked for at an address that has not told its versions yet. */
  private static final long NO_VERSION = -1;

  /** First wait (ms) before a broken watch is opened anew, doubled up to the last. */
  private static final long BACKOFF_MS = 50;

  private static final long BACKOFF_MAX_MS = 500;

  /**
   * What an agent gets while no watch is open counts as told all the same, so the wait for a new
   * one has to be well within the drain's grace: this part of it, with half as much again at
   * chance, and the rest for the list to come.
   */
  private static final double GRACE_PART = 0.25;

  /** A longer text is no list of hosts. */
  private static final int MAX_LIST = 4 << 20;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Dispatcher dispatcher;
  private final Log log;
  private final boolean asked;
  private boolean told;
  private final Bootstrap bootstrap;
  private InetSocketAddress address;
  private long version = NO_VERSION;
  private Future<?> reopening;
  private final long firstBackoff;
  private final long lastBackoff;
  private long backoff;

  /**
   * Why the last watch broke, until one is good again: many tries at one broken discovery make one
   * line.
   */
  private String fault;

  private Watch watch;

  /**
   * Whether the next opening is worth a hurry: the last one was not given up for its own silence.
   */
  private boolean hurried = true;

  Discovery(EventLoopGroup loop, Config config, Dispatcher dispatcher, Log log) {
    this(loop, config, dispatcher, log, RetryingSocketChannel.class);
  }

  /** {@code sockets} is what it connects with. */
  Discovery(
      EventLoopGroup loop,
      Config config,
      Dispatcher dispatcher,
      Log log,
      Class<? extends Channel> sockets) {
    this.dispatcher = dispatcher;
    this.log = log;
    this.address = config.discovery();
    this.asked = config.settings().mustFollow();
    this.lastBackoff =
        Math.max(1, (long) Math.min(BACKOFF_MAX_MS, GRACE_PART * config.drainGrace()));
    this.firstBackoff = Math.min(BACKOFF_MS, lastBackoff);
    this.backoff = firstBackoff;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(sockets)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {}
                });
  }

  /** Starts the module with the list of the configuration, and the watch behind it. */
  void start(JsonNode known) {
    UpstreamHosts.News news;
    try {
      news = read(known);
      version = news.version();
    } catch (IllegalArgumentException e) {
      news = new UpstreamHosts.News(0, true, List.of());
    }
    dispatcher.start(news, this::open);
    if (!asked) {
      open();
    }
  }

  /** Whether discovery itself has told of its list since the start. */
  boolean told() {
    return told;
  }

  /** Moves the watch to another address; the hosts stay as they are until it has told its own. */
  void moveTo(InetSocketAddress to) {
    if (!to.equals(address)) {
      address = to;
      version = NO_VERSION;
      backoff = firstBackoff;
      open();
    }
  }

  /** Opens the watch, in place of one that is open. */
  private void open() {
    if (reopening != null) {
      reopening.cancel(false);
      reopening = null;
    }
    if (watch != null) {
      Watch old = watch;
      watch = null;
      old.channel.close();
    }
    ChannelFuture f = bootstrap.connect(address);
    if (!f.channel().isRegistered()) {
      // Guards against a watch that never ends: what was never opened can't be closed, nor goes
      // silent in its turn.
      lost("out of sockets");
      return;
    }
    Watch w = new Watch(f.channel());
    watch = w;
    f.addListener(
        x -> {
          if (f.isSuccess()) {
            w.begin();
          } else {
            w.broken("can't be reached");
          }
        });
  }

  /** Ends a watch that has gone silent. */
  void sweep() {
    if (watch != null) {
      boolean opening = !asked && hurried && !watch.heard;
      long heard = System.nanoTime() - ReadHorizon.behind();
      if (heard - watch.heardAt > (opening ? OPENING_NANOS : SILENCE_NANOS)) {
        hurried = !opening;
        watch.broken("silent");
      } else if (watch.stuck(heard, SILENCE_NANOS)) {
        watch.broken("can't be understood: a list that does not end");
      }
    }
  }

  /**
   * Reads a list in discovery's form.
   *
   * @throws IllegalArgumentException if it is not of that form; nothing has been changed then
   */
  private static UpstreamHosts.News read(JsonNode list) {
    JsonNode servers = list.path("servers");
    if (!list.isObject() || !servers.isArray() || !list.path("version").canConvertToLong()) {
      throw new IllegalArgumentException("not a list with version and servers");
    }
    List<UpstreamHosts.Member> members = new ArrayList<>(servers.size());
    Set<String> names = new HashSet<>();
    for (JsonNode s : servers) {
      String name = s.path("id").asText("");
      InetSocketAddress address = Addresses.parse(s.path("addr").asText(""));
      EndpointUpdate.Condition condition =
          switch (s.path("state").asText("")) {
            case "up" -> EndpointUpdate.Condition.READY;
            case "removed" -> EndpointUpdate.Condition.GONE;
            default ->
                EndpointUpdate.Condition.TERMINATING; // nothing new goes to a state not known
          };
      if (name.isEmpty() || (address == null && condition == EndpointUpdate.Condition.READY)) {
        throw new IllegalArgumentException("an entry without id or address");
      }
      if (!names.add(name)) {
        throw new IllegalArgumentException(
            "an id twice in one list"); // which of both holds can't be told
      }
      members.add(
          new UpstreamHosts.Member(
              name,
              address,
              s.path("zone").asText(""),
              s.path("kind").asText(""),
              s.path("cell").asLong(0),
              condition,
              s.path("weight").asDouble(1),
              s.path("started_ms").asDouble(0)));
    }
    return new UpstreamHosts.News(
        list.path("version").asLong(), list.path("full").asBoolean(), members);
  }

  /** No watch is open, for this reason: another one will be. */
  private void lost(String why) {
    watch = null;
    if (!why.equals(fault)) {
      log.line("watch: " + why);
    }
    fault = why;
    retry();
  }

  private void retry() {
    if (asked) {
      dispatcher.followFailed(); // the module decides when to ask again
      return;
    }
    long wait = backoff / 2 + (long) (Math.random() * backoff);
    backoff = Math.min(2 * backoff, lastBackoff);
    reopening = dispatcher.loop().schedule(this::open, wait, TimeUnit.MILLISECONDS);
  }

  private final class Watch extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private byte[] text = new byte[4_096];
    private int size;

    /**
     * Where the present line begins in what is held: past 0, lines of an indented list stand before
     * it, of which so many brackets are open, since then (ns).
     */
    private int lineFrom;

    private int brackets;
    private long listSince;
    private long heardAt = System.nanoTime();
    private boolean heard;
    private boolean good;
    private boolean following;

    Watch(Channel channel) {
      this.channel = channel;
    }

    void begin() {
      if (watch != this) {
        channel.close();
        return;
      }
      channel.pipeline().addLast(new HttpResponseDecoder(), new HttpRequestEncoder(), this);
      ask();
    }

    /** Asks for the whole list first where no version is known to go on from. */
    private void ask() {
      following = version != NO_VERSION;
      DefaultFullHttpRequest r =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.GET,
              "/catalog/members" + (following ? "?follow=1&since=" + version : ""),
              Unpooled.EMPTY_BUFFER);
      r.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
      channel.writeAndFlush(r);
    }

    /** Ends this watch once and has it opened anew. */
    void broken(String why) {
      channel.close();
      if (watch == this) {
        lost(why);
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      try {
        if (watch == this) {
          take((HttpObject) msg);
        }
      } finally {
        ReferenceCountUtil.release(msg);
      }
    }

    private void take(HttpObject part) {
      heardAt = System.nanoTime();
      heard = true;
      hurried = true;
      if (part.decoderResult().isFailure()) {
        broken("malformed answer");
      } else if (part instanceof HttpResponse head && head.status().code() != 200) {
        broken("answered " + head.status().code());
      } else if (part instanceof HttpContent content) {
        lines(content.content());
        if (part instanceof LastHttpContent && watch == this) {
          ended();
        }
      }
    }

    private void ended() {
      if (!following && size > 0) {
        list();
      }
      if (watch != this) {
        return;
      }
      if (following || version == NO_VERSION) {
        broken("ended");
      } else {
        ask();
      }
    }

    private void lines(ByteBuf bytes) {
      while (bytes.isReadable() && watch == this) {
        int end = bytes.bytesBefore((byte) '\n');
        int n = end < 0 ? bytes.readableBytes() : end + 1;
        if (size + n > MAX_LIST) {
          broken("a list without an end");
          return;
        }
        if (size + n > text.length) {
          text = Arrays.copyOf(text, Math.max(2 * text.length, size + n));
        }
        bytes.readBytes(text, size, n);
        size += n;
        if (end >= 0) {
          lineEnds();
        }
      }
    }

    /**
     * A list is one line, or is indented over several. A line that is cut is told at once where it
     * can be.
     */
    private void lineEnds() {
      boolean indented = lineFrom > 0;
      if (blank()) {
        if (indented) {
          broken(
              "can't be understood: a list that is cut"); // discovery has nothing more to tell of
          // it
        } else {
          size = 0;
          unchanged();
        }
      } else if (goesOn()) {
        listSince = indented ? listSince : System.nanoTime();
        lineFrom = size;
      } else {
        list();
      }
    }

    private boolean blank() {
      for (int i = lineFrom; i < size; i++) {
        if (text[i] > ' ' || text[i] < 0) {
          return false;
        }
      }
      return true;
    }

    /**
     * Whether the list goes on behind the present line: brackets are open, and it was not cut in
     * the middle of a value.
     */
    private boolean goesOn() {
      boolean quoted = false;
      byte last = 0;
      for (int i = lineFrom; i < size; i++) {
        byte c = text[i];
        if (quoted) {
          i += c == '\\' ? 1 : 0;
          quoted = c != '"';
        } else if (c == '"') {
          quoted = true;
        } else if (c == '{' || c == '[') {
          brackets++;
        } else if (c == '}' || c == ']') {
          brackets--;
        }
        last = c > ' ' ? c : last;
      }
      return !quoted && brackets > 0 && (lineFrom > 0 || last == '{' || last == '[' || last == ',');
    }

    /** Whether lines of a list have come, and the rest of it has not for so long (ns). */
    boolean stuck(long now, long most) {
      return lineFrom > 0 && now - listSince > most;
    }

    /** All of a list has come. */
    private void list() {
      int length = size;
      size = 0;
      lineFrom = 0;
      brackets = 0;
      UpstreamHosts.News news;
      try {
        news = read(JSON.readTree(text, 0, length));
      } catch (IOException | IllegalArgumentException e) {
        // The last good list stays; what this one was to tell comes again from its version on.
        broken(
            "can't be understood: "
                + (e instanceof JsonProcessingException j
                    ? j.getOriginalMessage()
                    : e.getMessage()));
        return;
      }
      apply(news);
      good();
    }

    /**
     * Nothing has changed. Guards, where discovery is asked, against waits that have grown while it
     * failed and that the module would keep for the next break: from a silence on there are 6 s,
     * and they could be longer.
     */
    private void unchanged() {
      dispatcher.upToDate();
      if (!good && asked && version != NO_VERSION) {
        dispatcher.membership(
            EndpointListEvent.DELTA, new UpstreamHosts.News(version, false, List.of()));
      }
      good();
    }

    private void good() {
      if (!good) {
        good = true;
        told = true;
        fault = null;
        backoff = firstBackoff;
      }
    }

    private void apply(UpstreamHosts.News news) {
      if (version == NO_VERSION && !news.full()) {
        broken("changes came ahead of the list");
        return;
      }
      if (news.version() < version) {
        log.line("watch: version " + news.version() + " is older than " + version + ", left out");
        return;
      }
      version = news.version();
      dispatcher.membership(news.full() ? EndpointListEvent.FULL : EndpointListEvent.DELTA, news);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      broken("closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) {
        log.failure("the watch failed", cause);
      }
      broken("failed");
    }
  }
}
