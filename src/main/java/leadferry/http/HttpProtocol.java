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
 * @param maxHeldResponseBytes bytes of an answer's body that are held; where a longer one does not
 *     stream, it is spoilt
 * @param maxStreamedResponseBytes bytes of the body of an answer that streams; a longer one never
 *     ends
 * @param allowsCloseDelimited whether an answer may end with its connection, where its head
 *     announces the close: a process that dies resets its connections, so that an end in order
 *     tells a whole answer
 * @param forwardsAllBelow500 whether any answer below 500 is served as it is; else only a 200 is,
 *     and a host's 4xx is told to the client without its body
 * @param forwardsServerErrors whether a host's 5xx that ends its request is served as it is
 */
public record HttpProtocol(
    int maxHeldResponseBytes,
    long maxStreamedResponseBytes,
    boolean allowsCloseDelimited,
    boolean forwardsAllBelow500,
    boolean forwardsServerErrors)
    implements UpstreamProtocol {
  /** Hosts as the platform's protocol has them. */
  public static final HttpProtocol PLATFORM =
      new HttpProtocol(64 * 1024, HttpServerSettings.MAX_PLATFORM_BODY_BYTES, true, false, false);

  static final HttpDecoderConfig DECODER_CONFIG =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(8_192)
          .setMaxHeaderSize(16_384)
          .setMaxChunkSize(16_384)
          .setInitialBufferSize(256);

  @Override
  public UpstreamConnection createConnection(
      UpstreamConnectionPool pool, UpstreamHost host, Channel channel) {
    HttpUpstreamConnection.Decoder decoder = new HttpUpstreamConnection.Decoder(DECODER_CONFIG);
    HttpUpstreamConnection connection =
        new HttpUpstreamConnection(pool, host, channel, decoder, this);
    channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
    return connection;
  }
}
