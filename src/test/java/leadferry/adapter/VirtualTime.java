package leadferry.adapter;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock in milliseconds that is moved on by hand, and what is to happen when. */
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

  /** Has that happen then; what is due at the same time happens in the order of the calls. */
  void schedule(double timeMillis, Runnable action) {
    events.add(new Event(timeMillis, nextSequenceNumber++, action));
  }

  /** Has all happen that is due by now. */
  void runDue() {
    while (!events.isEmpty() && events.peek().timeMillis() <= nowMillis) {
      events.poll().action().run();
    }
  }

  void advance(double millis) {
    nowMillis += millis;
  }
}
