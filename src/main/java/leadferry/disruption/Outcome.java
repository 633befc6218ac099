package leadferry.disruption;

import java.util.List;
import java.util.Locale;

/**
 * What became of an entry; every keeper comes to the same.
 *
 * @param status see there
 * @param permit the permit that it is about, or ""
 * @param why for people: the reasons of a refusal, with the names of those who are out
 * @param number the fence or the action that it gave, 0 for none
 */
public record Outcome(Status status, String permit, List<String> why, long number) {
  /** Without a number. */
  public Outcome(Status status, String permit, List<String> why) {
    this(status, permit, why, 0);
  }

  public static Outcome numbered(Status status, long number) {
    return new Outcome(status, "", List.of(), number);
  }

  /** The kinds of outcomes. */
  public enum Status {
    /** It has been done. */
    DONE,
    /** A permit has been granted. */
    GRANTED,
    /** A budget, or a rule that stands above all budgets, says no. */
    REFUSED,
    /** Nothing is granted until an operator says so. */
    HALTED,
    /** It names what is not known, or not any more. */
    UNKNOWN,
    /** It was made against another state, or its id was used for something else. */
    CONFLICT,
    /** It can't be read. */
    MALFORMED;

    public String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  public static Outcome of(Status status, String... why) {
    return new Outcome(status, "", List.of(why));
  }
}
