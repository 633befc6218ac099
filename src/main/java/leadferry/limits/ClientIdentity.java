package leadferry.limits;

/**
 * The attributes of a request by which limits assign it to a bucket. {@code tenant} is "" if the
 * request names no tenant.
 */
public record ClientIdentity(
    String listener, String route, String tenant, String className, String address) {

  String keyFor(Limit.Scope scope) {
    return switch (scope) {
      case ALL -> "";
      case LISTENER -> listener;
      case ROUTE -> route;
      case TENANT -> tenant;
      case CLASS -> className;
      case ADDRESS -> address;
    };
  }
}
