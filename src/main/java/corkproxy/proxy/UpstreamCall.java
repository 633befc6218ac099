package corkproxy.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** What one connection to a host carries at a time. */
abstract class UpstreamCall {
  final Host host;
  private Channel connecting;
  private UpstreamConnection connection;

  UpstreamCall(Host host) {
    this.host = host;
  }

  /** Writes all of it; the future is that of the last byte. */
  abstract ChannelFuture write(Channel channel);

  /** The last byte has not gone out: there was no connection, or it went away before. */
  abstract void notSent();

  /** The host must not get it any more, and no byte of it has gone out. */
  abstract void moot();

  /** The head of the final answer. */
  abstract void head(HttpResponse head);

  /** Part of the answer's body. */
  abstract void content(HttpContent part);

  /** The answer is whole. */
  abstract void end();

  /** The connection broke, or the answer is malformed; the last byte had been written. */
  abstract void broken();

  void connecting(Channel channel) {
    connecting = channel;
  }

  void attached(UpstreamConnection to) {
    connecting = null;
    connection = to;
  }

  UpstreamConnection connection() {
    return connection;
  }

  /** Whether the last byte may have reached the host. */
  boolean mayHaveRun() {
    return connection != null && connection.written();
  }

  /** Ends the use of the connection, by closing it unless the answer has been read to its end. */
  void abandon() {
    if (connecting != null) {
      connecting.close();
      connecting = null;
    }
    if (connection != null) {
      connection.abort(this);
    }
  }
}
