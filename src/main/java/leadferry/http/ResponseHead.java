package leadferry.http;

import io.netty.handler.codec.http.HttpResponse;

/** Head of an upstream host's response, with the memory that is reserved for it. */
final class ResponseHead {
  private final HeadBudget.Reservation memory;
  private HttpResponse message;

  private ResponseHead(HttpResponse message, HeadBudget.Reservation memory) {
    this.message = message;
    this.memory = memory;
  }

  /** Reserves memory for a head; returns null if there is none. */
  static ResponseHead hold(HttpResponse message, HeadBudget budget) {
    HeadBudget.Reservation memory = budget.open();
    return memory.resize(HeadBudget.sizeOf(message.headers(), 0))
        ? new ResponseHead(message, memory)
        : null;
  }

  /** Returns the head, or null after {@link #release}. */
  HttpResponse message() {
    return message;
  }

  /** Releases the head; has no effect where it was released. */
  void release() {
    message = null;
    memory.release();
  }
}
