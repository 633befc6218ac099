package leadferry.routing;

/** What routes look at in a request. */
public interface RequestAttributes {
  /** The host asked for, in lower case without port, or "" where none was told. */
  String host();

  /** The path in the form that {@link NormalizedPath} gives for matching, without a query. */
  String path();

  /** The method, as it was sent. */
  String method();

  /** The class that the request claims and the operator declared, or null. */
  String className();

  /** The first value of the header, or null. */
  String header(String name);
}
