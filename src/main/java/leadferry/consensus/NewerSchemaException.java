package leadferry.consensus;

/**
 * Thrown for an entry or snapshot whose schema only a newer version can read. A retry does not
 * help. The replica stops, because skipping the entry would make its state differ from the state of
 * the other replicas.
 */
public final class NewerSchemaException extends RuntimeException {
  private static final long serialVersionUID = 1;

  NewerSchemaException(int schema) {
    super(
        "schema: "
            + schema
            + " (expected: at most "
            + LogEntryCodec.SCHEMA
            + "; written by a newer version)");
  }
}
