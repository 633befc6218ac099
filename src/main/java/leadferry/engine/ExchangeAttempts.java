package leadferry.engine;

import java.util.Arrays;

/**
 * The attempts of one exchange, in the order in which they were asked for, and what has to hold
 * between them. Confined to the exchange's loop. An attempt that ends may lead to a further one, so
 * each loop here goes by the size at its time.
 */
final class ExchangeAttempts {
  private Attempt[] attempts = new Attempt[2];
  private int size;
  private int open;

  void add(Attempt attempt) {
    if (size == attempts.length) {
      attempts = Arrays.copyOf(attempts, 2 * size);
    }
    attempts[size++] = attempt;
    open++;
  }

  /** One of them has told its outcome. */
  void onAttemptEnded() {
    open--;
  }

  /** Whether each has told its outcome. */
  boolean haveAllEnded() {
    return open == 0;
  }

  /** All of them so far, withheld ones included. */
  int size() {
    return size;
  }

  Attempt get(int number) {
    return attempts[number];
  }

  /** Whether a response is going to the client. */
  boolean isAnyResponding() {
    for (int i = 0; i < size; i++) {
      if (attempts[i].isOpen() && attempts[i].isResponding()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether another attempt that may run went out too long ago (ms, on the module's clock) for this
   * one to begin at {@code now}. Guards rule 2: the window was judged when the wait began, and what
   * was sent meanwhile was not judged at all.
   */
  boolean isOutsideRepeatWindow(Attempt attempt, double now) {
    for (int i = 0; i < size; i++) {
      Attempt other = attempts[i];
      if (other != attempt
          && other.mayHaveRun()
          && now - other.firstByteSentAt() >= attempt.repeatWindowMillis()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Until when (ms, on the module's clock) the last byte of the attempt has to be out: by {@code
   * deadlineAt}, and within its window from each other attempt that may run.
   */
  double lastByteDeadline(Attempt attempt, double deadlineAt) {
    double lastByteBy = deadlineAt;
    for (int i = 0; i < size; i++) {
      Attempt other = attempts[i];
      if (other != attempt && other.mayHaveRun()) {
        lastByteBy = Math.min(lastByteBy, other.firstByteSentAt() + attempt.repeatWindowMillis());
      }
    }
    return lastByteBy;
  }

  /**
   * Ends what is out for nobody and of which the last byte is not: it never ran. Guards rule 1
   * where the module may not cancel, and so does not: a connection that comes up late would carry
   * it on after its end.
   */
  void endUnsent() {
    for (int i = 0; i < size; i++) {
      Attempt attempt = attempts[i];
      if (attempt.isOpen() && !attempt.isFullyWritten()) {
        attempt.endAsNeverRun();
      }
    }
  }
}
