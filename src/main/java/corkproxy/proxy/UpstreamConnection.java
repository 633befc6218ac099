package corkproxy.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/** A connection to a host. It carries one call at a time and goes back to its pool in between. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements Sockets.Idle {
  /** Tells of bytes that came behind the end of an answer. */
  static final class Decoder extends HttpResponseDecoder {
    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    boolean surplus() {
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

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      // Guards against an answer of two lengths: netty would drop one, and it may be the true one.
      throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
    }
  }

  private enum Reply {
    NONE,
    INTERIM,
    BODY,
    /** The call is over, the rest of its answer is thrown away so that the connection can stay. */
    UNWANTED
  }

  /** An end so soon (ns) after a request was written tells that the connection was dead before. */
  private static final long AT_ONCE_NANOS = 25_000_000L;

  /** What of an unwanted answer is read before the connection is given up instead. */
  private static final int UNWANTED_BYTES = 64 * 1024;

  private final Upstreams pool;
  private final Host host;
  private final InetSocketAddress address;
  private final double started;
  private final UpstreamChannel channel;
  private final Decoder decoder;
  private UpstreamCall call;
  private Reply reply = Reply.NONE;
  private boolean written;
  private boolean keep;
  private int unwanted;
  private long since;
  private long idleFor;
  private long writtenAt;

  UpstreamConnection(Upstreams pool, Host host, UpstreamChannel channel, Decoder decoder) {
    this.pool = pool;
    this.host = host;
    this.address = host.address;
    this.started = host.started;
    this.channel = channel;
    this.decoder = decoder;
  }

  Channel channel() {
    return channel;
  }

  /** Whether the last byte of the present call has been given to the kernel. */
  boolean written() {
    return written;
  }

  /** Whether nothing has come or ended here since it went idle; asks the socket itself. */
  boolean alive() {
    return channel.isActive() && channel.quiet();
  }

  /** Nanoseconds at which it went idle or its unwanted rest began. */
  long since() {
    return since;
  }

  boolean reusable() {
    return host.sendable && address.equals(host.address) && started == host.started;
  }

  /** Writes the call; the last moment at which it can be held back has passed. */
  void run(UpstreamCall next) {
    writtenAt = System.nanoTime();
    idleFor = since == 0 ? 0 : writtenAt - since;
    call = next;
    reply = Reply.NONE;
    written = false;
    keep = true;
    next.attached(this);
    next.write(channel)
        .addListener(
            f -> {
              if (call == next) {
                if (f.isSuccess()) {
                  written = true;
                } else {
                  lost();
                }
              }
            });
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    try {
      if (call == null && reply != Reply.UNWANTED) {
        // Guards against surplus bytes of one answer that would be taken for the next one's.
        channel.close();
        return;
      }
      HttpObject part = (HttpObject) msg;
      if (part.decoderResult().isFailure()) {
        lost();
        return;
      }
      if (part instanceof HttpResponse head) {
        head(head);
      }
      if (part instanceof HttpContent content && channel.isOpen()) {
        content(content);
      }
    } finally {
      ReferenceCountUtil.release(msg);
    }
  }

  private void head(HttpResponse head) {
    HttpStatusClass kind = head.status().codeClass();
    if (kind == HttpStatusClass.INFORMATIONAL) {
      if (head.status().code() == 101) {
        lost(); // nobody asked for another protocol
      } else {
        reply = Reply.INTERIM;
      }
      return;
    }
    int major = head.protocolVersion().majorVersion();
    if (major != 1 || reply != Reply.NONE && reply != Reply.INTERIM || call == null) {
      lost(); // no HTTP of ours, or a second answer, which belongs to no call
      return;
    }
    reply = Reply.BODY;
    // An answer ahead of the request's last byte leaves a half-sent request behind it.
    keep = written && HttpUtil.isKeepAlive(head);
    call.head(head);
  }

  private void content(HttpContent part) {
    boolean last = part instanceof LastHttpContent;
    if (reply == Reply.INTERIM) {
      reply = last ? Reply.NONE : reply;
      return;
    }
    if (call != null) {
      UpstreamCall c = call;
      c.content(part);
      if (last && call == c) {
        finished();
        c.end();
      }
    } else {
      unwanted += part.content().readableBytes();
      if (last) {
        finished();
      } else if (unwanted > UNWANTED_BYTES) {
        channel.close();
      }
    }
  }

  private void finished() {
    call = null;
    reply = Reply.NONE;
    channel.config().setAutoRead(true);
    if (keep && channel.isActive() && !decoder.surplus() && reusable()) {
      since = System.nanoTime();
      pool.idle(host, this);
    } else {
      channel.close();
    }
  }

  /** The call has learned all it needs from the head; the connection may still be of use. */
  void discardRest() {
    if (call != null) {
      call = null;
      reply = Reply.UNWANTED;
      unwanted = 0;
      since = System.nanoTime();
      if (keep) {
        pool.discarding(this);
      } else {
        channel.close();
      }
    }
  }

  /** Gives the call up: nothing that comes later may reach another one. */
  void abort(UpstreamCall given) {
    if (call == given) {
      call = null;
      channel.close();
    }
  }

  private void lost() {
    UpstreamCall c = call;
    boolean sent = written;
    call = null;
    channel.close();
    if (c != null) {
      long now = System.nanoTime();
      if (idleFor > 0 && reply == Reply.NONE && now - writtenAt < AT_ONCE_NANOS) {
        host.deadAfter(idleFor, now);
      }
      if (sent) {
        c.broken();
      } else {
        c.notSent();
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    lost();
    pool.closed(host, this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    lost();
  }

  @Override
  public void closeIdle() {
    channel.close();
  }
}
