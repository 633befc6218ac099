package leadferry.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Explores all interleavings of what can happen next to a stated depth, or single ones far beyond
 * it at random; a violation that a random walk finds is shrunk to the steps that it needs.
 */
final class StateSpaceExplorer {
  /** One step in so many of a random walk is any that can happen, the others are likely ones. */
  private static final int UNLIKELY_ONE_IN = 4;

  /** Something that can happen; no two steps of one state have the same name. */
  record Step(String name, Runnable action) {}

  /** One state of the whole system, rebuilt by taking its steps. */
  interface SystemModel {
    List<Step> possibleSteps();

    /** What tells states apart. */
    String stateKey();

    /** Whether a random walk should rather take this step, so that it gets anywhere. */
    default boolean isLikely(String step) {
      return false;
    }

    /** What invariant is violated, or "". */
    String violation();
  }

  private final Supplier<SystemModel> initialWorld;
  private int stateCount;

  StateSpaceExplorer(Supplier<SystemModel> initialWorld) {
    this.initialWorld = initialWorld;
  }

  /** How many states were met. */
  int stateCount() {
    return stateCount;
  }

  /** The shortest steps to a violation within that depth; empty where there is none. */
  List<String> exploreAll(int depth) {
    Set<String> seenKeys = new HashSet<>();
    record Path(List<Integer> taken, int nextSteps) {}
    List<Path> frontier = List.of(new Path(List.of(), initialWorld.get().possibleSteps().size()));
    for (int level = 0; level < depth; level++) {
      List<Path> nextFrontier = new ArrayList<>();
      for (Path path : frontier) {
        for (int next = 0; next < path.nextSteps(); next++) {
          List<Integer> longer = new ArrayList<>(path.taken());
          longer.add(next);
          List<String> names = new ArrayList<>();
          SystemModel world = replay(longer, names);
          if (!world.violation().isEmpty()) {
            return withViolation(names, world);
          }
          if (seenKeys.add(world.stateKey())) {
            nextFrontier.add(new Path(longer, world.possibleSteps().size()));
          }
        }
      }
      frontier = nextFrontier;
      stateCount = seenKeys.size();
    }
    return List.of();
  }

  /** Takes steps by their places, and adds their names. */
  private SystemModel replay(List<Integer> places, List<String> names) {
    SystemModel world = initialWorld.get();
    for (int place : places) {
      Step step = world.possibleSteps().get(place);
      names.add(step.name());
      step.action().run();
    }
    return world;
  }

  private static List<String> withViolation(List<String> names, SystemModel world) {
    List<String> steps = new ArrayList<>(names);
    steps.add("=> " + world.violation());
    return steps;
  }

  /**
   * A random walk of so many steps: those that it needs for a violation, and which; empty where
   * there is none.
   */
  List<String> randomWalk(long seed, int length) {
    return randomWalk(seed, length, world -> {});
  }

  /**
   * The same; {@code ending} brings the state that the walk came to to its end, and may meet a
   * violation on the way.
   */
  List<String> randomWalk(long seed, int length, Consumer<SystemModel> ending) {
    SplittableRandom random = new SplittableRandom(seed);
    SystemModel world = initialWorld.get();
    List<String> taken = new ArrayList<>();
    while (taken.size() < length && world.violation().isEmpty()) {
      List<Step> steps = world.possibleSteps();
      if (steps.isEmpty()) {
        break;
      }
      Step step = choose(steps, world, random);
      taken.add(step.name());
      step.action().run();
    }
    if (world.violation().isEmpty()) {
      ending.accept(world);
    }
    return world.violation().isEmpty() ? List.of() : shrink(taken, ending);
  }

  private static Step choose(List<Step> steps, SystemModel world, SplittableRandom random) {
    List<Step> likely =
        random.nextInt(UNLIKELY_ONE_IN) == 0
            ? List.of()
            : steps.stream().filter(step -> world.isLikely(step.name())).toList();
    List<Step> candidates = likely.isEmpty() ? steps : likely;
    return candidates.get(random.nextInt(candidates.size()));
  }

  /** Leaves out ever smaller runs of steps, as long as there is a violation without them. */
  private List<String> shrink(List<String> found, Consumer<SystemModel> ending) {
    List<String> shortest = found;
    for (int size = Math.max(1, shortest.size() / 2); size > 0; size /= 2) {
      for (int start = 0; start + size <= shortest.size(); ) {
        List<String> without = new ArrayList<>(shortest);
        without.subList(start, start + size).clear();
        if (!replayByName(without, ending).violation().isEmpty()) {
          shortest = without;
        } else {
          start++;
        }
      }
    }
    return withViolation(shortest, replayByName(shortest, ending));
  }

  /** Takes steps by their names and passes over those that can't happen. */
  private SystemModel replayByName(List<String> names, Consumer<SystemModel> ending) {
    SystemModel world = initialWorld.get();
    for (String name : names) {
      world.possibleSteps().stream()
          .filter(step -> step.name().equals(name))
          .findFirst()
          .ifPresent(step -> step.action().run());
      if (!world.violation().isEmpty()) {
        return world;
      }
    }
    ending.accept(world);
    return world;
  }
}
