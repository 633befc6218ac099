package leadferry.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import leadferry.engine.UpstreamConnection;
import leadferry.engine.UpstreamConnectionPool;
import leadferry.engine.UpstreamHost;
import leadferry.engine.UpstreamProtocol;

/**
 * HTTP/1.1 as spoken to the upstream hosts of a pool.
 *
 * @param maxHeldResponseBytes bytes of a response body that are held in memory; a longer response
 *     that can't be streamed counts as broken
 * @param maxStreamedResponseBytes maximum size in bytes of a streamed response body; a longer
 *     response is treated as endless
 * @param allowsCloseDelimited whether the close of the connection may delimit a response whose head
 *     announces it. A crashed process resets its connections, so an orderly end proves that the
 *     response is complete.
 * @param forwardsAllBelow500 whether every response with a status below 500 is forwarded with its
 *     body. Otherwise only a 200 is forwarded with its body, and of a 4xx only the status reaches
 *     the client.
 * @param forwardsServerErrors whether a 5xx of an upstream host that ends its request is forwarded
 *     with its body
 */
public record HttpProtocol(
    int maxHeldResponseBytes,
    long maxStreamedResponseBytes,
    boolean allowsCloseDelimited,
    boolean forwardsAllBelow500,
    boolean forwardsServerErrors)
    implements UpstreamProtocol {
  /**
   * Settings for the upstream hosts of the platform: the close of the connection may delimit a
   * response, only a 200 is forwarded with its body, and no 5xx is forwarded with its body.
   */
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
