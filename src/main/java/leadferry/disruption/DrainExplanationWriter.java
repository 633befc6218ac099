package leadferry.disruption;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import leadferry.disruption.Outcome.Status;

/**
 * Writes the explain view for operators: the outcome that a drain would have now, and each bound
 * that applies to it.
 */
final class DrainExplanationWriter {
  private final DisruptionTables tables;
  private final TargetDirectory targets;
  private final UnavailabilityEvaluator unavailability;
  private final BudgetEvaluator budgets;

  DrainExplanationWriter(
      DisruptionTables tables,
      TargetDirectory targets,
      UnavailabilityEvaluator unavailability,
      BudgetEvaluator budgets) {
    this.tables = tables;
    this.targets = targets;
    this.unavailability = unavailability;
    this.budgets = budgets;
  }

  /**
   * Writes the explanation of a drain without carrying it out.
   *
   * @param type type of the target, or null if the caller named an unknown type
   */
  void write(TargetType type, String name, ObjectNode json) {
    Target target = type == null ? null : targets.find(type, name).orElse(null);
    if (target == null) {
      String typeName = type == null ? "kind" : type.storedName();
      json.put("status", Status.UNKNOWN.storedName())
          .putArray("why")
          .add("no " + typeName + " '" + name + "'");
      return;
    }
    Optional<EvictionGrant> heldGrant = tables.grants.heldBy(type, name);
    List<BudgetBound> bounds = budgets.evaluateBounds(target);
    json.put("status", Status.DONE.storedName())
        .put("kind", type.storedName())
        .put("name", name)
        .put("out", unavailability.of(type, name).map(Unavailability::text).orElse(null))
        .put("halted", tables.haltReason())
        .put("would_be", predictStatus(heldGrant.isPresent(), bounds).storedName());
    heldGrant.ifPresent(grant -> json.put("permit", grant.id()));
    ArrayNode boundsJson = json.putArray("bounds");
    bounds.forEach(bound -> writeBound(bound, boundsJson.addObject()));
  }

  private Status predictStatus(boolean holdsGrant, List<BudgetBound> bounds) {
    if (holdsGrant) {
      return Status.REFUSED;
    }
    if (tables.isHalted()) {
      return Status.HALTED;
    }
    return bounds.stream().anyMatch(BudgetBound::isExhausted) ? Status.REFUSED : Status.GRANTED;
  }

  private static void writeBound(BudgetBound bound, ObjectNode json) {
    json.put("bound", bound.name())
        .put("of", bound.groupSize())
        .put("allowed", bound.allowed())
        .put("full", bound.isExhausted());
    bound.unavailableOthers().forEach(json.putArray("others_out")::add);
  }
}
