package leadferry.disruption;

import java.util.Set;
import java.util.TreeSet;

/** A client proxy as the ledger knows it: what it has told, and whether its session lives. */
final class ProxyMember {
  final String name;
  String zone = Target.NONE;

  /** What runs there, as it told when its session began. */
  String version = DisruptionState.NO_VERSION;

  /** The change of the ledger with which its session began. */
  long joined;

  /** Whether its session lives; false is lost, unless it {@link #left}. */
  boolean alive;

  /** It said that it ends, and had nothing in flight. */
  boolean left;

  /** An operator has declared that its process is dead. */
  boolean fenced;

  /** Whether it has told, in this session, that it serves. */
  boolean serving;

  /** The newest version of the ledger that it has told to go by. */
  long seen;

  /** The number of its last word in this session; an earlier one that comes late is passed over. */
  long said;

  /** The change of the ledger with which it came back and began to settle, 0 once it has. */
  long settling;

  /** Hosts that are out by permit and on which it still has requests in flight. */
  Set<String> busy = new TreeSet<>();

  /** Hosts that its modules have ejected. */
  Set<String> suspects = new TreeSet<>();

  /** The catalogue of hosts that it balances over, by digest. */
  String catalogue = "";

  ProxyMember(String name) {
    this.name = name;
  }
}
