package leadferry.cli;

/** Exit statuses of the commands that ask a fleet's replicas. */
final class FleetExitStatus {
  /** Done, or granted. */
  static final int DONE = 0;

  /** Faulty arguments or file. */
  static final int INVALID_INPUT = 2;

  /** The agreed state says no: a budget, an unknown name, or a conflict. */
  static final int REFUSED = 3;

  /** Nothing is granted until an operator resumes. */
  static final int HALTED = 4;

  /** No replica could be reached. */
  static final int UNREACHABLE = 5;

  /** It was sent, and what became of it is not known. */
  static final int UNDECIDED = 6;

  /** It was granted, and is not carried out everywhere yet. */
  static final int PENDING = 7;

  private FleetExitStatus() {}

  /** The exit status of an outcome by its word in the replicas' protocol. */
  static int forOutcome(String outcome) {
    return switch (outcome) {
      case "done", "granted" -> DONE;
      case "refused", "unknown", "conflict" -> REFUSED;
      case "halted" -> HALTED;
      default -> INVALID_INPUT;
    };
  }
}
