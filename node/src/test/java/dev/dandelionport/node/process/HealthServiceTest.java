package dev.dandelionport.node.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import org.junit.jupiter.api.Test;

/** Tests liveness and readiness over HTTP. */
class HealthServiceTest {

  // Guards against a load balancer that routes callers to an instance without a manifest, which
  // must reject every request.
  @Test
  void instanceIsNotReadyWithoutManifestAndSaysWhy() throws Exception {
    try (TestCell cell = TestCell.withoutManifest(1, 12)) {
      AggregatedHttpResponse r = cell.call(0, HttpMethod.GET, "/readyz", "", "");
      assertThat(r.status().code()).isEqualTo(503);
      assertThat(r.contentUtf8()).contains("\"ready\":false").contains("no manifest is known");
      assertThat(cell.statusOf(0, "/healthz")).isEqualTo(200);
      cell.commitManifest();
      TestCell.awaitTrue(() -> cell.statusOf(0, "/readyz") == 200);
    }
  }

  // Guards against a load balancer that routes callers to an instance that cannot confirm its lease
  // because the store is down.
  @Test
  void instanceIsNotReadyOnceItsAuthorityEnded() throws Exception {
    try (TestCell cell = TestCell.ready(1, 12)) {
      cell.setStoreDown(true);
      TestCell.awaitTrue(() -> cell.statusOf(0, "/readyz") == 503);
      String body = cell.call(0, HttpMethod.GET, "/readyz", "", "").contentUtf8();
      assertThat(body).contains("no authority");
      assertThat(cell.statusOf(0, "/healthz")).isEqualTo(200);
      cell.setStoreDown(false);
      TestCell.awaitTrue(() -> cell.statusOf(0, "/readyz") == 200);
    }
  }
}
