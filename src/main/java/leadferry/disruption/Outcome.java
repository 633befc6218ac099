package leadferry.disruption;

import java.util.List;
import java.util.Locale;

/**
 * The result of a command; every replica comes to the same.
 *
 * @param status the kind of result
 * @param grantId id of the eviction grant that it is about, or ""
 * @param reasons reasons for people: of a refusal, with the names of those that are unavailable
 * @param number the fence or the action number that it gave, 0 for none
 */
public record Outcome(Status status, String grantId, List<String> reasons, long number) {
  /** An outcome without a number. */
  public Outcome(Status status, String grantId, List<String> reasons) {
    this(status, grantId, reasons, 0);
  }

  /** An outcome that gives a number, such as a fence. */
  public static Outcome numbered(Status status, long number) {
    return new Outcome(status, "", List.of(), number);
  }

  /** The kinds of results. */
  public enum Status {
    /** The command was carried out. */
    DONE,
    /** An eviction grant was given. */
    GRANTED,
    /** A budget, or a rule above all budgets, forbids it. */
    REFUSED,
    /** Nothing is granted until an operator resumes. */
    HALTED,
    /** It names what is not known, or no longer. */
    UNKNOWN,
    /** It was made against another version, or its id was used for another command. */
    CONFLICT,
    /** It is not well-formed. */
    MALFORMED;

    /** The word of the stored form and the wire: the name in lower case. */
    public String storedName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** An outcome about no grant, with reasons for people. */
  public static Outcome of(Status status, String... reasons) {
    return new Outcome(status, "", List.of(reasons));
  }
}
