package leadferry.engine;

import io.netty.channel.Channel;

/** How hosts are spoken to. One instance serves all connections of a pool. */
public interface UpstreamProtocol {
  /** Makes a fresh connection ready to carry attempts: fills its pipeline, the result last. */
  UpstreamConnection createConnection(
      UpstreamConnectionPool pool, UpstreamHost host, Channel channel);
}
