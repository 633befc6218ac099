package leadferry.testbed;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * A client connection of the load with one request at a time. Reads responses without a full
 * decoder (see {@link HeadBuffer}). Confined to the event loop of its lane.
 */
final class LoadConnection extends ChannelInboundHandlerAdapter {
  /** The part of a response that is read next. */
  private enum ReadState {
    HEAD,
    SIZED_BODY,
    CHUNK_SIZE,
    CHUNK_DATA,
    TRAILERS
  }

  private static final byte[] REQUEST_ID = MinimalFakeUpstream.ascii("x-request-id");
  private static final byte[] CONTENT_LENGTH = MinimalFakeUpstream.ascii("content-length");
  private static final byte[] TRANSFER_ENCODING = MinimalFakeUpstream.ascii("transfer-encoding");
  private static final byte[] CONNECTION = MinimalFakeUpstream.ascii("connection");
  private static final byte[] CLOSE = MinimalFakeUpstream.ascii("close");

  /** Offset of the status code in the status line, after "HTTP/1.1 ". */
  private static final int STATUS_OFFSET = 9;

  private final LoadLane lane;
  private final Channel channel;
  private final RequestTemplate[] templates;
  private final HeadBuffer buffer = new HeadBuffer();
  private ReadState state = ReadState.HEAD;
  private long bodyBytesLeft;
  private LoadRequest request;
  private byte[] id;
  private int status;
  private boolean idMatches;
  private boolean keepAlive;

  LoadConnection(LoadLane lane, Channel channel, RequestTemplate[] templates) {
    this.lane = lane;
    this.channel = channel;
    this.templates = templates;
  }

  boolean isActive() {
    return channel.isActive();
  }

  void close() {
    channel.close();
  }

  /** Returns whether the deadline of the open request has passed. */
  boolean isOverdue(long nowNanos) {
    return request != null && request.deadlineNanos() < nowNanos;
  }

  void write(LoadRequest next) {
    request = next;
    id = MinimalFakeUpstream.ascii(next.id());
    ByteBuf bytes = templates[next.kind()].encode(channel, id);
    channel.writeAndFlush(bytes, channel.voidPromise());
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    lane.onConnected(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf read = (ByteBuf) message;
    try {
      while (read.isReadable()) {
        if (isInBody()) {
          int skipped = (int) Math.min(bodyBytesLeft, read.readableBytes());
          read.skipBytes(skipped);
          bodyBytesLeft -= skipped;
        } else if (!buffer.append(read)) {
          channel.close();
          return;
        }
        while (advance()) {
          // processes as much as has been received
        }
      }
    } finally {
      read.release();
    }
  }

  private boolean isInBody() {
    return state == ReadState.SIZED_BODY || state == ReadState.CHUNK_DATA;
  }

  /** Processes received bytes. Returns false if more bytes are needed. */
  private boolean advance() {
    if (request == null) {
      if (buffer.end > buffer.start || bodyBytesLeft > 0) {
        channel.close(); // bytes without an open request
      }
      return false;
    }
    return switch (state) {
      case HEAD -> readHead();
      case SIZED_BODY, CHUNK_DATA -> skipBody();
      case CHUNK_SIZE, TRAILERS -> readLine();
    };
  }

  private boolean readHead() {
    int end = buffer.headEnd();
    if (end < 0) {
      return false;
    }
    status = (int) buffer.parseNumber(buffer.start + STATUS_OFFSET, 10);
    idMatches = true;
    keepAlive = true;
    bodyBytesLeft = 0;
    state = ReadState.SIZED_BODY;
    for (int line = buffer.nextLineStart(buffer.start);
        line < end - 2;
        line = buffer.nextLineStart(line)) {
      readHeader(line);
    }
    buffer.start = end;
    if (status < 200) {
      state = ReadState.HEAD; // an interim response, the final head follows
    } else if (templates[request.kind()].isHead() || status == 204 || status == 304) {
      bodyBytesLeft = 0;
      state = ReadState.SIZED_BODY;
    }
    return true;
  }

  private void readHeader(int line) {
    int valueAt = buffer.headerValueStart(line, REQUEST_ID);
    if (valueAt > 0) {
      idMatches = buffer.matches(valueAt, buffer.lineEnd(valueAt), id);
      return;
    }
    valueAt = buffer.headerValueStart(line, CONTENT_LENGTH);
    if (valueAt > 0) {
      bodyBytesLeft = buffer.parseNumber(valueAt, 10);
      return;
    }
    if (buffer.headerValueStart(line, TRANSFER_ENCODING) > 0) {
      state = ReadState.CHUNK_SIZE;
      return;
    }
    valueAt = buffer.headerValueStart(line, CONNECTION);
    if (valueAt > 0) {
      keepAlive = !buffer.matches(valueAt, buffer.lineEnd(valueAt), CLOSE);
    }
  }

  private boolean skipBody() {
    int skipped = (int) Math.min(bodyBytesLeft, buffer.end - buffer.start);
    buffer.start += skipped;
    bodyBytesLeft -= skipped;
    if (bodyBytesLeft > 0) {
      return false;
    }
    if (state == ReadState.CHUNK_DATA) {
      state = ReadState.CHUNK_SIZE;
    } else {
      finish();
    }
    return true;
  }

  /** Reads a line of a chunked body: a chunk size, the end of a chunk, or a trailer. */
  private boolean readLine() {
    int end = lineEnd();
    if (end < 0) {
      return false;
    }
    boolean empty = end - buffer.start == 2;
    if (state == ReadState.TRAILERS) {
      buffer.start = end;
      if (empty) {
        finish();
      }
      return true;
    }
    bodyBytesLeft = empty ? 0 : buffer.parseNumber(buffer.start, 16);
    buffer.start = end;
    if (!empty) {
      state = bodyBytesLeft == 0 ? ReadState.TRAILERS : ReadState.CHUNK_DATA;
    }
    return true;
  }

  private int lineEnd() {
    for (int i = buffer.start; i < buffer.end; i++) {
      if (buffer.bytes[i] == '\n') {
        return i + 1;
      }
    }
    return -1;
  }

  private void finish() {
    LoadRequest finished = request;
    request = null;
    state = ReadState.HEAD;
    lane.onFinished(this, finished, outcome(), keepAlive);
  }

  private LoadGenerator.Outcome outcome() {
    if (status >= 200 && status < 300) {
      return idMatches ? LoadGenerator.Outcome.SERVED : LoadGenerator.Outcome.WRONG;
    }
    return status == 429 || status == 503
        ? LoadGenerator.Outcome.REFUSED
        : LoadGenerator.Outcome.FAILED;
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    LoadRequest unanswered = request;
    request = null;
    lane.onDisconnected(this, unanswered);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    channel.close();
  }
}
