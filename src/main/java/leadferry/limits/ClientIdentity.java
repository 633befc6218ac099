package leadferry.limits;

/** Whom a request is counted for. {@code tenant} is "" where none was told. */
public record ClientIdentity(
    String listener, String route, String tenant, String className, String address) {

  String keyFor(Limit.Scope by) {
    return switch (by) {
      case ALL -> "";
      case LISTENER -> listener;
      case ROUTE -> route;
      case TENANT -> tenant;
      case CLASS -> className;
      case ADDRESS -> address;
    };
  }
}
