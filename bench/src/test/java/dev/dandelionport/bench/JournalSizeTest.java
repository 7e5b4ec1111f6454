package dev.dandelionport.bench;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.journal.JournalRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class JournalSizeTest {

  private static final int STARTS_PER_SECOND = 430;

  /**
   * Write budget of one instance, which may own the partition that receives the whole peak load.
   */
  private static final int BATCHES_PER_SECOND = 10;

  // Guards against batches that the store rejects because they exceed its value limit of 1 MB. At
  // the peak of 430 starts per second with payloads of 4 KB, each batch must stay below the limit.
  @Test
  void batchAtPeakRateFitsInOneStoreValue() {
    List<JournalRecord> batch = new ArrayList<>();
    for (int i = 0; i < STARTS_PER_SECOND / BATCHES_PER_SECOND + 1; i++) {
      batch.addAll(CapacityFigures.jobRecords(i, 4_096));
    }
    byte[] bytes = CapacityFigures.encode(batch);
    assertThat(bytes.length).isLessThan(1_000_000);
  }

  // Guards against longer field names or a less compact encoding, which would make the record sizes
  // in docs/CAPACITY.md too low.
  @Test
  void recordsOfOneJobStaySmall() {
    byte[] empty = CapacityFigures.encode(List.of());
    byte[] one = CapacityFigures.encode(CapacityFigures.jobRecords(1, 64));
    assertThat(one.length - empty.length).isLessThan(1_024);
  }
}
