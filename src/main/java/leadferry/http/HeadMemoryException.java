package leadferry.http;

/** Signals that the memory for message heads is used up; the request may be sent again later. */
final class HeadMemoryException extends Exception {
  private static final long serialVersionUID = 1;

  HeadMemoryException() {
    super("no memory for message heads");
  }
}
