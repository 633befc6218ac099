package corkproxy.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** What of a message's headers belongs to one connection only. */
final class Headers {
  static final HttpHeaders NONE = DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders();

  private static final CharSequence[] HOP_BY_HOP = {
    HttpHeaderNames.CONNECTION,
    "Keep-Alive",
    "Proxy-Connection",
    HttpHeaderNames.TE,
    HttpHeaderNames.TRAILER,
    HttpHeaderNames.TRANSFER_ENCODING,
    HttpHeaderNames.UPGRADE
  };

  private Headers() {}

  static void dropHopByHop(HttpHeaders headers) {
    for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String token : named.split(",", 16)) {
        if (!token.isBlank() && !token.trim().equalsIgnoreCase("close")) {
          headers.remove(token.trim());
        }
      }
    }
    for (CharSequence name : HOP_BY_HOP) {
      headers.remove(name);
    }
  }
}
