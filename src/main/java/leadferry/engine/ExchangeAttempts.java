package leadferry.engine;

import java.util.Arrays;

/**
 * Holds the attempts of one exchange in order of creation and checks the conditions between them.
 * Confined to the exchange's loop. The end of an attempt may add a further one, so each loop in
 * this class reads the current size on every iteration.
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

  /** Records that an attempt has reported its outcome. */
  void onAttemptEnded() {
    open--;
  }

  /** Whether every attempt has reported its outcome. */
  boolean haveAllEnded() {
    return open == 0;
  }

  /** Returns the number of attempts so far, including those that were never started. */
  int size() {
    return size;
  }

  Attempt get(int number) {
    return attempts[number];
  }

  /** Whether a host may have run any of the attempts, or may still do so. */
  boolean mayAnyHaveRun() {
    for (int i = 0; i < size; i++) {
      if (attempts[i].mayHaveRun()) {
        return true;
      }
    }
    return false;
  }

  /** Whether the response of an open attempt is being sent to the client. */
  boolean isAnyResponding() {
    for (int i = 0; i < size; i++) {
      if (attempts[i].isOpen() && attempts[i].isResponding()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether another attempt that may have run was sent too long ago (ms, load balancer clock) for
   * {@code attempt} to be sent at {@code now}. Guards against an effect that happens twice (rule 2
   * of this package): the load balancer checked the repeat window before {@code attempt} waited for
   * a connection, and could not check the attempts that were sent during the wait.
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
   * Returns the time (ms, load balancer clock) by which the last byte of the attempt must be sent.
   * It is the earliest of {@code deadlineAt} and the ends of the repeat windows that the request's
   * other attempts that may have run have opened; each window starts with the first byte of such an
   * attempt.
   */
  double lastByteDeadline(Attempt attempt, double deadlineAt) {
    double deadline = deadlineAt;
    for (int i = 0; i < size; i++) {
      Attempt other = attempts[i];
      if (other != attempt && other.mayHaveRun()) {
        deadline = Math.min(deadline, other.firstByteSentAt() + attempt.repeatWindowMillis());
      }
    }
    return deadline;
  }

  /**
   * Ends the open attempts whose last byte has not been sent. Such an attempt never ran. Guards
   * against a request that is sent after its final response (rule 1 of this package): where the
   * load balancer may not cancel, a connection that is established late would still carry the
   * attempt.
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
