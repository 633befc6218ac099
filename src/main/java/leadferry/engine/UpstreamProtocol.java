package leadferry.engine;

import io.netty.channel.Channel;

/** Protocol spoken with hosts. One instance serves all connections of a pool. */
public interface UpstreamProtocol {
  /** Prepares a new connection for attempts: fills its pipeline, with the returned handler last. */
  UpstreamConnection createConnection(
      UpstreamConnectionPool pool, UpstreamHost host, Channel channel);
}
