package leadferry.testbed;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Records all operator calls with start, end and outcome, and checks them for linearizability
 * (Herlihy and Wing): whether there is an order of the calls, consistent with real time, in which
 * each outcome is possible. The search is that of Wing and Gong with Lowe's memoization.
 *
 * <p>The model covers only permits and the halt. A refusal is always possible, because crashes use
 * up budgets. A grant requires a free place in the budget, no halt, and a target without a grant.
 * The outcome "halted" requires a halt.
 */
public final class History {
  /** Operation of a call. */
  public enum Op {
    DRAIN,
    UNDO,
    HALT,
    RESUME
  }

  /**
   * Outcome of a call. For {@link #UNDECIDED} it is unknown whether and when the call took effect.
   */
  public enum Outcome {
    GRANTED,
    DONE,
    REFUSED,
    HALTED,
    UNDECIDED
  }

  /**
   * One call. Times are nanoseconds of one clock; {@code targetName} is the target to drain or to
   * return to service.
   */
  public record Call(
      Op op,
      String targetKind,
      String targetName,
      long startNanos,
      long endNanos,
      Outcome outcome) {}

  private record State(Set<String> drained, boolean halted) {}

  private final int proxiesAllowed;
  private final int upstreamsAllowed;
  private final List<Call> calls = new ArrayList<>();

  /**
   * Creates a history for budgets of {@code proxiesAllowed} proxies and {@code upstreamsAllowed}
   * upstreams.
   */
  public History(int proxiesAllowed, int upstreamsAllowed) {
    this.proxiesAllowed = proxiesAllowed;
    this.upstreamsAllowed = upstreamsAllowed;
  }

  /** Adds a completed or undecided call. */
  public synchronized void record(Call call) {
    calls.add(call);
  }

  /** Returns all calls in the order in which they were recorded. */
  public synchronized List<Call> calls() {
    return List.copyOf(calls);
  }

  /** Returns whether there is an order that explains all outcomes. */
  public boolean isLinearizable() {
    List<Call> all = new ArrayList<>(calls());
    all.sort(java.util.Comparator.comparingLong(Call::startNanos));
    return search(all, new HashSet<>());
  }

  private record SearchNode(java.util.BitSet done, State state) {}

  private boolean search(List<Call> all, Set<SearchNode> visited) {
    java.util.ArrayDeque<SearchNode> pending = new java.util.ArrayDeque<>();
    pending.push(new SearchNode(new java.util.BitSet(), new State(Set.of(), false)));
    while (!pending.isEmpty()) {
      SearchNode node = pending.pop();
      if (!visited.add(node)) {
        continue;
      }
      long firstEndNanos = Long.MAX_VALUE;
      boolean hasDecided = false;
      for (int i = node.done().nextClearBit(0);
          i < all.size();
          i = node.done().nextClearBit(i + 1)) {
        Call call = all.get(i);
        if (call.outcome() != Outcome.UNDECIDED) {
          hasDecided = true;
          firstEndNanos = Math.min(firstEndNanos, call.endNanos());
        }
      }
      if (!hasDecided) {
        return true;
      }
      for (int i = node.done().nextClearBit(0);
          i < all.size();
          i = node.done().nextClearBit(i + 1)) {
        Call call = all.get(i);
        if (call.startNanos() > firstEndNanos) {
          break;
        }
        java.util.BitSet done = (java.util.BitSet) node.done().clone();
        done.set(i);
        State after = apply(node.state(), call);
        if (after != null) {
          pending.push(new SearchNode(done, after));
        }
      }
    }
    return false;
  }

  /**
   * Returns the state after {@code call}, or null if its outcome is impossible in state {@code
   * state}. An undecided call takes effect if it can.
   */
  private State apply(State state, Call call) {
    String target = call.targetKind() + " " + call.targetName();
    boolean undecided = call.outcome() == Outcome.UNDECIDED;
    switch (call.op()) {
      case HALT:
        return new State(state.drained(), true);
      case RESUME:
        return new State(state.drained(), false);
      case UNDO:
        {
          Set<String> drained = new TreeSet<>(state.drained());
          drained.remove(target);
          return new State(drained, state.halted());
        }
      default:
        if (call.outcome() == Outcome.REFUSED) {
          return state;
        }
        if (call.outcome() == Outcome.HALTED) {
          return state.halted() ? state : null;
        }
        long drainedOfKind =
            state.drained().stream()
                .filter(other -> other.startsWith(call.targetKind() + " "))
                .count();
        boolean isPossible =
            !state.halted()
                && !state.drained().contains(target)
                && drainedOfKind
                    < (call.targetKind().equals("proxy") ? proxiesAllowed : upstreamsAllowed);
        if (!isPossible) {
          return undecided ? state : null;
        }
        Set<String> drained = new TreeSet<>(state.drained());
        drained.add(target);
        return new State(drained, state.halted());
    }
  }
}
