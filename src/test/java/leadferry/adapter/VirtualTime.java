package leadferry.adapter;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A manually advanced clock in milliseconds with scheduled actions. */
final class VirtualTime {
  private record Event(double timeMillis, long sequenceNumber, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble(Event::timeMillis).thenComparingLong(Event::sequenceNumber));
  private double nowMillis;
  private long nextSequenceNumber;

  VirtualTime(double nowMillis) {
    this.nowMillis = nowMillis;
  }

  double nowMillis() {
    return nowMillis;
  }

  /** Schedules an action. Actions of the same time run in the order of the calls. */
  void schedule(double timeMillis, Runnable action) {
    events.add(new Event(timeMillis, nextSequenceNumber++, action));
  }

  /** Runs all actions that are due. */
  void runDue() {
    while (!events.isEmpty() && events.peek().timeMillis() <= nowMillis) {
      events.poll().action().run();
    }
  }

  void advance(double millis) {
    nowMillis += millis;
  }
}
