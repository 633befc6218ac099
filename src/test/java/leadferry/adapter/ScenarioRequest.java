package leadferry.adapter;

import java.util.ArrayList;
import java.util.List;

/** A client's request in the scenario, with its attempts. */
final class ScenarioRequest {
  /** An attempt at a server, or at a server that no longer exists. */
  static final class Attempt {
    int instance;
    long requestId;
    int number;
    SimulatedServer server;
    double sentAtMillis;
    boolean isEnded;
  }

  long id;
  double deadlineMillis;
  boolean isOver;
  boolean isStreamed;
  final List<Attempt> attempts = new ArrayList<>();
}
