package leadferry.proxy;

/** Reports a text that is not an endpoint list in the form of discovery. */
final class MalformedEndpointListException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedEndpointListException(String message) {
    super(message);
  }
}
