package leadferry.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LoadReportHeadersTest {
  @Test
  void aReportIsReadAsAWholeOrNotAtAll() {
    assertThat(LoadReportHeaders.read("inflight=1e300")).isNull();
    assertThat(LoadReportHeaders.read("inflight=3,eps=none")).isNull();
    assertThat(LoadReportHeaders.read("inflight=3,other=none").held()).isEqualTo(3);
  }
}
