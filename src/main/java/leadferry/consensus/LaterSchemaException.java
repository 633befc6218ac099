package leadferry.consensus;

/**
 * An entry or snapshot of a schema that only a later build knows. Not to be retried: a replica that
 * meets one ends, because to pass the entry over would be to differ from the others.
 */
public final class LaterSchemaException extends RuntimeException {
  private static final long serialVersionUID = 1;

  LaterSchemaException(int schema) {
    super(
        "schema "
            + schema
            + " (expected: at most "
            + LogEntryCodec.SCHEMA
            + "; a later build wrote it)");
  }
}
