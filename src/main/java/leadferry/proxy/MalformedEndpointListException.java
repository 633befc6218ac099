package leadferry.proxy;

/** A text that is not an endpoint list of discovery's form. */
final class MalformedEndpointListException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedEndpointListException(String message) {
    super(message);
  }
}
