package leadferry.cli;

import leadferry.release.ReleaseDirection;

/** Prints the status of releases for people. */
final class ReleaseStatusPrinter {
  private ReleaseStatusPrinter() {}

  /** The direction in the words of the command line. */
  static String name(ReleaseDirection direction) {
    return direction == ReleaseDirection.FORWARD ? "forward" : "rollback";
  }
}
