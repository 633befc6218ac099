package leadferry.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import leadferry.engine.UpstreamConnection;
import leadferry.engine.UpstreamConnectionPool;
import leadferry.engine.UpstreamHost;
import leadferry.engine.UpstreamProtocol;

/**
 * HTTP/1.1 to the hosts of a pool.
 *
 * @param maxAnswer bytes of an answer's body that are held; where a longer one does not stream, it
 *     is spoilt
 * @param maxStreamed bytes of the body of an answer that streams; a longer one never ends
 * @param untilClose whether an answer may end with its connection, where its head announces the
 *     close: a process that dies resets its connections, so that an end in order tells a whole
 *     answer
 * @param passAll whether any answer below 500 is served as it is; else only a 200 is, and a host's
 *     4xx is told to the client without its body
 * @param passErrors whether a host's 5xx that ends its request is served as it is
 */
public record HttpProtocol(
    int maxAnswer, long maxStreamed, boolean untilClose, boolean passAll, boolean passErrors)
    implements UpstreamProtocol {
  /** Hosts as the platform's protocol has them. */
  public static final HttpProtocol PLATFORM =
      new HttpProtocol(64 * 1024, HttpServerSettings.LARGEST, true, false, false);

  static final HttpDecoderConfig DECODER =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(8_192)
          .setMaxHeaderSize(16_384)
          .setMaxChunkSize(16_384)
          .setInitialBufferSize(256);

  @Override
  public UpstreamConnection createConnection(
      UpstreamConnectionPool pool, UpstreamHost host, Channel channel) {
    HttpUpstreamConnection.Decoder decoder = new HttpUpstreamConnection.Decoder(DECODER);
    HttpUpstreamConnection connection =
        new HttpUpstreamConnection(pool, host, channel, decoder, this);
    channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
    return connection;
  }
}
