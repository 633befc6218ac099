package leadferry.disruption;

import java.util.List;
import java.util.Locale;

/**
 * Result of a command. Every replica computes the same result.
 *
 * @param status kind of the result
 * @param grantId id of the eviction grant that the command concerns, or ""
 * @param reasons human-readable reasons, stored and sent to callers; a refusal by a budget names
 *     the unavailable targets
 * @param number fencing token or action number that the command issued; 0 for none
 */
public record Outcome(Status status, String grantId, List<String> reasons, long number) {
  /** Creates an outcome without a number. */
  public Outcome(Status status, String grantId, List<String> reasons) {
    this(status, grantId, reasons, 0);
  }

  /** Returns an outcome that issues a number, such as a fencing token. */
  public static Outcome numbered(Status status, long number) {
    return new Outcome(status, "", List.of(), number);
  }

  /** Kinds of results. */
  public enum Status {
    /** The command was carried out. */
    DONE,
    /** The eviction was granted. */
    GRANTED,
    /** A budget or another rule forbids the command. */
    REFUSED,
    /** Granting is stopped until an operator resumes it. */
    HALTED,
    /** The command names something that is not known, or no longer known. */
    UNKNOWN,
    /**
     * The command was made against another state than the current one, such as an older version or
     * fencing token, or its id or name is already used by another call or session.
     */
    CONFLICT,
    /** The command is not well-formed. */
    MALFORMED;

    /** Returns the name in stored data and on the wire: the constant's name in lower case. */
    public String storedName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Returns an outcome without a grant, with human-readable reasons. */
  public static Outcome of(Status status, String... reasons) {
    return new Outcome(status, "", List.of(reasons));
  }
}
