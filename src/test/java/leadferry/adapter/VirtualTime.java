package leadferry.adapter;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock in milliseconds that is moved on by hand, and what is to happen when. */
final class VirtualTime {
  private record Event(double atMillis, long order, Runnable what) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::order));
  private double nowMillis;
  private long order;

  VirtualTime(double nowMillis) {
    this.nowMillis = nowMillis;
  }

  double nowMillis() {
    return nowMillis;
  }

  /** Has that happen then; what is due at the same time happens in the order of the calls. */
  void at(double whenMillis, Runnable what) {
    events.add(new Event(whenMillis, order++, what));
  }

  /** Has all happen that is due by now. */
  void runDue() {
    while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
      events.poll().what().run();
    }
  }

  void advance(double millis) {
    nowMillis += millis;
  }
}
