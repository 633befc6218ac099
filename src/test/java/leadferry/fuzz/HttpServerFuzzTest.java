package leadferry.fuzz;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against request smuggling: an upstream host receives a request that the client did not
 * send, because the server and a strict parser interpret the same bytes differently.
 */
class HttpServerFuzzTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void forwardedRequestsMatchStrictParse(long seed) throws Exception {
    // Guards against a run in which too few requests reach the upstream host to test anything.
    assertThat(HttpServerFuzzer.run(seed, 1_500)).isGreaterThan(50);
  }
}
