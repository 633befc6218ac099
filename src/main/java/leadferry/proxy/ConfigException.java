package leadferry.proxy;

/** Reports a configuration that is missing or invalid, in a message of one line. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  ConfigException(String message) {
    super(message);
  }
}
