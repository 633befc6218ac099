package leadferry.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a load report that is used although one of its values is invalid. */
class LoadReportHeadersTest {
  @Test
  void invalidValueDiscardsWholeReport() {
    assertThat(LoadReportHeaders.parse("inflight=1e300")).isNull();
    assertThat(LoadReportHeaders.parse("inflight=3,eps=none")).isNull();
    assertThat(LoadReportHeaders.parse("inflight=3,other=none").heldRequests()).isEqualTo(3);
  }
}
