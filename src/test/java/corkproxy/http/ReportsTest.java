package corkproxy.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReportsTest {
  @Test
  void aReportIsReadAsAWholeOrNotAtAll() {
    assertThat(Reports.read("inflight=1e300")).isNull();
    assertThat(Reports.read("inflight=3,eps=none")).isNull();
    assertThat(Reports.read("inflight=3,other=none").held()).isEqualTo(3);
  }
}
