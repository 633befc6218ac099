package leadferry.routing;

/** The attributes of a request that routes match. */
public interface RequestAttributes {
  /** Returns the host of the request in lower case without port, or "" if there is none. */
  String host();

  /** Returns {@link NormalizedPath#matchPath}, without a query. */
  String path();

  /** Returns the method in the case in which it was sent. */
  String method();

  /** Returns the declared class that the request names, or null. */
  String className();

  /** Returns the first value of the header, or null. */
  String header(String name);
}
