package leadferry.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Walks all interleavings of what can happen next to a stated depth, or far beyond it at random;
 * cuts down what it finds.
 */
final class StateSpaceExplorer {
  /** Something that can happen; its name is its own in its state. */
  record Step(String name, Runnable what) {}

  /** One state of the whole, made anew by its steps. */
  interface World {
    List<Step> steps();

    /** What tells states apart. */
    String key();

    /** Whether a walk at random should rather take this one, so that it gets anywhere. */
    default boolean likely(String step) {
      return false;
    }

    /** What promise is broken, or "". */
    String broken();
  }

  private final Supplier<World> start;
  private int states;

  StateSpaceExplorer(Supplier<World> start) {
    this.start = start;
  }

  /** States that were met. */
  int states() {
    return states;
  }

  /** The shortest steps to a broken promise within that depth; empty where there are none. */
  List<String> all(int depth) {
    Set<String> seen = new HashSet<>();
    record Path(List<Integer> taken, int steps) {}
    List<Path> front = List.of(new Path(List.of(), start.get().steps().size()));
    for (int d = 0; d < depth; d++) {
      List<Path> next = new ArrayList<>();
      for (Path path : front) {
        for (int i = 0; i < path.steps(); i++) {
          List<Integer> longer = new ArrayList<>(path.taken());
          longer.add(i);
          List<String> names = new ArrayList<>();
          World w = start.get();
          for (int at : longer) {
            Step s = w.steps().get(at);
            names.add(s.name());
            s.what().run();
          }
          if (!w.broken().isEmpty()) {
            return found(names, w);
          }
          if (seen.add(w.key())) {
            next.add(new Path(longer, w.steps().size()));
          }
        }
      }
      front = next;
      states = seen.size();
    }
    return List.of();
  }

  private static List<String> found(List<String> names, World w) {
    List<String> out = new ArrayList<>(names);
    out.add("=> " + w.broken());
    return out;
  }

  /**
   * A walk at random of so many steps: those that it needs to break a promise, and which; empty
   * where none breaks.
   */
  List<String> random(long seed, int length) {
    return random(seed, length, w -> {});
  }

  /**
   * The same; {@code end} brings the state that the walk came to to its end, and may break a
   * promise on the way.
   */
  List<String> random(long seed, int length, java.util.function.Consumer<World> end) {
    SplittableRandom random = new SplittableRandom(seed);
    World w = start.get();
    List<String> taken = new ArrayList<>();
    while (taken.size() < length && w.broken().isEmpty()) {
      List<Step> steps = w.steps();
      if (steps.isEmpty()) {
        break;
      }
      World now = w;
      List<Step> likely =
          random.nextInt(4) == 0
              ? List.of()
              : steps.stream().filter(x -> now.likely(x.name())).toList();
      List<Step> from = likely.isEmpty() ? steps : likely;
      Step s = from.get(random.nextInt(from.size()));
      taken.add(s.name());
      s.what().run();
    }
    if (w.broken().isEmpty()) {
      end.accept(w);
    }
    return w.broken().isEmpty() ? List.of() : shrink(taken, end);
  }

  private List<String> shrink(List<String> found, java.util.function.Consumer<World> end) {
    List<String> now = found;
    for (int size = Math.max(1, now.size() / 2); size > 0; size /= 2) {
      for (int at = 0; at + size <= now.size(); ) {
        List<String> without = new ArrayList<>(now);
        without.subList(at, at + size).clear();
        if (!again(without, end).broken().isEmpty()) {
          now = without;
        } else {
          at++;
        }
      }
    }
    return found(now, again(now, end));
  }

  /** Takes steps by their names and passes over those that can't happen. */
  private World again(List<String> steps, java.util.function.Consumer<World> end) {
    World w = start.get();
    for (String name : steps) {
      w.steps().stream()
          .filter(s -> s.name().equals(name))
          .findFirst()
          .ifPresent(s -> s.what().run());
      if (!w.broken().isEmpty()) {
        return w;
      }
    }
    end.accept(w);
    return w;
  }
}
