package leadferry.adapter;

import java.util.ArrayList;
import java.util.List;

/** A client's request in the scenario, with its attempts. */
final class ScenarioRequest {
  /** One send of it, to a server or to one that is not there any more. */
  static final class Attempt {
    int who;
    long request;
    int number;
    SimulatedServer server;
    double sentAtMillis;
    boolean ended;
  }

  long id;
  double deadlineMillis;
  boolean over;
  boolean streamed;
  final List<Attempt> attempts = new ArrayList<>();
}
