package leadferry.engine;

import java.util.ArrayDeque;
import java.util.function.BiConsumer;

/**
 * Runs the events of one pool one at a time, in order of arrival. An event that is delivered while
 * another one runs is queued until that one has returned. Confined to the pool's loop.
 */
final class EventQueue {
  private record Event(Exchange exchange, Runnable action) {}

  private final Runnable beforeEach;
  private final BiConsumer<Exchange, RuntimeException> onFailure;
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private boolean isRunning;

  /**
   * Creates an empty queue.
   *
   * @param beforeEach runs before each event
   * @param onFailure receives an event's exchange, which may be null, and its failure. Guards
   *     against one faulty event that ends the process
   */
  EventQueue(Runnable beforeEach, BiConsumer<Exchange, RuntimeException> onFailure) {
    this.beforeEach = beforeEach;
    this.onFailure = onFailure;
  }

  /** Delivers an event that concerns the exchange, which may be null. */
  void deliver(Exchange exchange, Runnable action) {
    events.add(new Event(exchange, action));
    if (isRunning) {
      return;
    }
    isRunning = true;
    try {
      Event event;
      while ((event = events.poll()) != null) {
        run(event);
      }
    } finally {
      isRunning = false;
    }
  }

  private void run(Event event) {
    try {
      beforeEach.run();
      event.action().run();
    } catch (RuntimeException failure) {
      onFailure.accept(event.exchange(), failure);
    }
  }
}
