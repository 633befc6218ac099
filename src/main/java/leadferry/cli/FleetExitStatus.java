package leadferry.cli;

/** Exit statuses of the commands that send requests to a fleet's replicas. */
final class FleetExitStatus {
  /** The request is done or granted. */
  static final int DONE = 0;

  /** The arguments or a file are invalid. */
  static final int INVALID_INPUT = 2;

  /** The control state rejects the request because of a budget, an unknown name or a conflict. */
  static final int REFUSED = 3;

  /** Grants are halted until an operator resumes them. */
  static final int HALTED = 4;

  /** No replica is reachable. */
  static final int UNREACHABLE = 5;

  /** The request was sent and its outcome is unknown. */
  static final int UNDECIDED = 6;

  /** The request is granted, but not every proxy has carried it out yet. */
  static final int PENDING = 7;

  private FleetExitStatus() {}

  /** Returns the exit status for the name of an outcome in the replicas' protocol. */
  static int forOutcome(String outcome) {
    return switch (outcome) {
      case "done", "granted" -> DONE;
      case "refused", "unknown", "conflict" -> REFUSED;
      case "halted" -> HALTED;
      default -> INVALID_INPUT;
    };
  }
}
