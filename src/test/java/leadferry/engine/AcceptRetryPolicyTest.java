package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class AcceptRetryPolicyTest {
  private final AcceptRetryPolicy policy = new AcceptRetryPolicy();

  private long[] backoffs(int count) {
    return LongStream.generate(policy::nextBackoffMillis).limit(count).toArray();
  }

  @Test
  void backoffDoublesUpToItsBound() {
    assertThat(backoffs(7)).containsExactly(5, 10, 20, 40, 80, 100, 100);
  }

  @Test
  void backoffRestartsAfterAnAccept() {
    backoffs(3);

    policy.onAccepted();

    assertThat(backoffs(2)).containsExactly(5, 10);
  }

  @Test
  void acceptIsAttemptedFourTimesImmediately() {
    int attempts = 1;
    while (AcceptRetryPolicy.shouldRetryImmediately(attempts)) {
      attempts++;
    }

    assertThat(attempts).isEqualTo(4);
  }

  @Test
  void closingListenerRetriesFortyTimes() {
    long retries =
        IntStream.rangeClosed(1, 100).filter(AcceptRetryPolicy::shouldRetryBeforeClose).count();

    assertThat(retries).isEqualTo(40);
  }
}
