package leadferry.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Explores all interleavings of the steps of a model to a fixed depth, or random walks beyond it. A
 * violation found by a random walk is shrunk to the steps that it requires.
 */
final class StateSpaceExplorer {
  /**
   * One step in this many of a random walk is chosen among all possible steps, the others among the
   * likely ones.
   */
  private static final int ANY_STEP_ONE_IN = 4;

  /** A possible step; the names of the steps of one state are unique. */
  record Step(String name, Runnable action) {}

  /** One state of the whole system, rebuilt by replaying its steps. */
  interface SystemModel {
    List<Step> possibleSteps();

    /** Returns a key that identifies the state. */
    String stateKey();

    /** Returns whether random walks should prefer this step, in order to make progress. */
    default boolean isLikely(String step) {
      return false;
    }

    /** Returns the violated invariant, or "". */
    String violation();
  }

  private final Supplier<SystemModel> initialModel;
  private int stateCount;

  StateSpaceExplorer(Supplier<SystemModel> initialModel) {
    this.initialModel = initialModel;
  }

  /** Returns the number of distinct states visited. */
  int stateCount() {
    return stateCount;
  }

  /** Returns the shortest steps to a violation within {@code depth}; empty if there is none. */
  List<String> exploreAll(int depth) {
    Set<String> seenKeys = new HashSet<>();
    record Path(List<Integer> taken, int nextSteps) {}
    List<Path> frontier = List.of(new Path(List.of(), initialModel.get().possibleSteps().size()));
    for (int level = 0; level < depth; level++) {
      List<Path> nextFrontier = new ArrayList<>();
      for (Path path : frontier) {
        for (int next = 0; next < path.nextSteps(); next++) {
          List<Integer> longer = new ArrayList<>(path.taken());
          longer.add(next);
          List<String> names = new ArrayList<>();
          SystemModel model = replay(longer, names);
          if (!model.violation().isEmpty()) {
            return withViolation(names, model);
          }
          if (seenKeys.add(model.stateKey())) {
            nextFrontier.add(new Path(longer, model.possibleSteps().size()));
          }
        }
      }
      frontier = nextFrontier;
      stateCount = seenKeys.size();
    }
    return List.of();
  }

  /** Replays steps by their indexes and adds their names to {@code names}. */
  private SystemModel replay(List<Integer> stepIndexes, List<String> names) {
    SystemModel model = initialModel.get();
    for (int stepIndex : stepIndexes) {
      Step step = model.possibleSteps().get(stepIndex);
      names.add(step.name());
      step.action().run();
    }
    return model;
  }

  private static List<String> withViolation(List<String> names, SystemModel model) {
    List<String> steps = new ArrayList<>(names);
    steps.add("=> " + model.violation());
    return steps;
  }

  /**
   * Walks at random for {@code length} steps. Returns the violation found and the steps that it
   * requires; empty if there is none.
   */
  List<String> randomWalk(long seed, int length) {
    return randomWalk(seed, length, model -> {});
  }

  /**
   * Walks at random like {@link #randomWalk(long, int)} and then applies {@code ending} to the
   * state reached, which may also find a violation.
   */
  List<String> randomWalk(long seed, int length, Consumer<SystemModel> ending) {
    SplittableRandom random = new SplittableRandom(seed);
    SystemModel model = initialModel.get();
    List<String> taken = new ArrayList<>();
    while (taken.size() < length && model.violation().isEmpty()) {
      List<Step> steps = model.possibleSteps();
      if (steps.isEmpty()) {
        break;
      }
      Step step = choose(steps, model, random);
      taken.add(step.name());
      step.action().run();
    }
    if (model.violation().isEmpty()) {
      ending.accept(model);
    }
    return model.violation().isEmpty() ? List.of() : shrink(taken, ending);
  }

  private static Step choose(List<Step> steps, SystemModel model, SplittableRandom random) {
    List<Step> likely =
        random.nextInt(ANY_STEP_ONE_IN) == 0
            ? List.of()
            : steps.stream().filter(step -> model.isLikely(step.name())).toList();
    List<Step> candidates = likely.isEmpty() ? steps : likely;
    return candidates.get(random.nextInt(candidates.size()));
  }

  /** Removes ever smaller runs of steps while a violation remains without them. */
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

  /** Replays steps by their names and skips those that are not possible. */
  private SystemModel replayByName(List<String> names, Consumer<SystemModel> ending) {
    SystemModel model = initialModel.get();
    for (String name : names) {
      model.possibleSteps().stream()
          .filter(step -> step.name().equals(name))
          .findFirst()
          .ifPresent(step -> step.action().run());
      if (!model.violation().isEmpty()) {
        return model;
      }
    }
    ending.accept(model);
    return model;
  }
}
