package leadferry.engine;

import io.netty.channel.Channel;

/** How hosts are spoken to. One instance serves all connections of a pool. */
public interface Protocol {
  /** Makes a fresh connection ready to carry attempts: fills its pipeline, the result last. */
  UpstreamConnection open(UpstreamConnectionPool pool, UpstreamHost host, Channel channel);
}
