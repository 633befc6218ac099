package leadferry.http;

import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.Set;

/**
 * Evaluates request heads for a listener: decides which requests are forwarded, to which pool, and
 * with which class.
 */
public interface RequestFilter {
  /**
   * Evaluates a head with valid framing. The filter may change the target and the headers to those
   * that upstream hosts receive.
   */
  FilterResult evaluate(HttpRequest head, InetSocketAddress client);

  /**
   * Returns the lower-case names of the headers on which this filter bases decisions or which its
   * result sets, in addition to those that apply to every filter.
   */
  Set<String> inspectedHeaders();

  /** Whether requests can be served. */
  boolean isReady();
}
