package leadferry.testbed;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * All calls of operators with start, end and outcome, checked for linearizability (Herlihy and
 * Wing; the search is that of Wing and Gong with Lowe's memory): is there one order, true to time,
 * in which each outcome could have come about?
 *
 * <p>The model knows permits and the halt only. A refusal may always have been right, since crashes
 * use budgets up; a grant needs a place, no halt, and a holder that has none; "halted" needs a
 * halt.
 */
public final class History {
  /** What is asked. */
  public enum Op {
    DRAIN,
    UNDO,
    HALT,
    RESUME
  }

  /** What came back; nobody knows what became of an UNDECIDED one, or when. */
  public enum Outcome {
    GRANTED,
    DONE,
    REFUSED,
    HALTED,
    UNDECIDED
  }

  /** One call; times are ns of one clock, {@code name} who is to go out or come back. */
  public record Call(
      Op op,
      String targetKind,
      String targetName,
      long startNanos,
      long endNanos,
      Outcome outcome) {}

  private record State(Set<String> out, boolean halted) {}

  private final int proxies;
  private final int hosts;
  private final List<Call> calls = new ArrayList<>();

  /** A history in which so many of each may be out. */
  public History(int proxies, int hosts) {
    this.proxies = proxies;
    this.hosts = hosts;
  }

  public synchronized void record(Call c) {
    calls.add(c);
  }

  public synchronized List<Call> calls() {
    return List.copyOf(calls);
  }

  /** Whether there is such an order. */
  public boolean isLinearizable() {
    List<Call> all = new ArrayList<>(calls());
    all.sort(java.util.Comparator.comparingLong(Call::startNanos));
    return search(all, new HashSet<>());
  }

  private record Node(java.util.BitSet done, State state) {}

  private boolean search(List<Call> all, Set<Node> seen) {
    java.util.ArrayDeque<Node> open = new java.util.ArrayDeque<>();
    open.push(new Node(new java.util.BitSet(), new State(Set.of(), false)));
    while (!open.isEmpty()) {
      Node n = open.pop();
      if (!seen.add(n)) {
        continue;
      }
      long firstEnd = Long.MAX_VALUE;
      boolean sure = false;
      for (int i = n.done().nextClearBit(0); i < all.size(); i = n.done().nextClearBit(i + 1)) {
        Call c = all.get(i);
        if (c.outcome() != Outcome.UNDECIDED) {
          sure = true;
          firstEnd = Math.min(firstEnd, c.endNanos());
        }
      }
      if (!sure) {
        return true;
      }
      for (int i = n.done().nextClearBit(0); i < all.size(); i = n.done().nextClearBit(i + 1)) {
        Call c = all.get(i);
        if (c.startNanos() > firstEnd) {
          break;
        }
        java.util.BitSet done = (java.util.BitSet) n.done().clone();
        done.set(i);
        State after = apply(n.state(), c);
        if (after != null) {
          open.push(new Node(done, after));
        }
      }
    }
    return false;
  }

  /**
   * The state after the call, or null where its outcome can't have come about; an undecided one
   * took effect if it could.
   */
  private State apply(State s, Call c) {
    String who = c.targetKind() + " " + c.targetName();
    boolean unsure = c.outcome() == Outcome.UNDECIDED;
    switch (c.op()) {
      case HALT:
        return new State(s.out(), true);
      case RESUME:
        return new State(s.out(), false);
      case UNDO:
        {
          Set<String> out = new TreeSet<>(s.out());
          out.remove(who);
          return new State(out, s.halted());
        }
      default:
        if (c.outcome() == Outcome.REFUSED) {
          return s;
        }
        if (c.outcome() == Outcome.HALTED) {
          return s.halted() ? s : null;
        }
        long held = s.out().stream().filter(o -> o.startsWith(c.targetKind() + " ")).count();
        boolean could =
            !s.halted()
                && !s.out().contains(who)
                && held < (c.targetKind().equals("proxy") ? proxies : hosts);
        if (!could) {
          return unsure ? s : null;
        }
        Set<String> out = new TreeSet<>(s.out());
        out.add(who);
        return new State(out, s.halted());
    }
  }
}
