package leadferry.http;

import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.Set;

/** Judges the heads of requests for a front: what is taken, by which pool, under which class. */
public interface RequestFilter {
  /**
   * Judges a head whose framing has been found sound. It may change the head's target and headers
   * to what hosts are to see.
   */
  FilterResult evaluate(HttpRequest head, InetSocketAddress client);

  /**
   * Names, in lower case, of the headers that this filter judges by or that what it chooses will
   * set, besides those that every filter goes by.
   */
  Set<String> inspectedHeaders();

  /** Whether requests would be served. */
  boolean isReady();
}
