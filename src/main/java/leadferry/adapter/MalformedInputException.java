package leadferry.adapter;

/** Thrown if the input violates the wire format. The message is a single line. */
public final class MalformedInputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message for operators. */
  public MalformedInputException(String message) {
    super(message);
  }
}
