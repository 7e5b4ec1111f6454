package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowRecord;
import java.util.ArrayList;
import java.util.List;

/** Splits a snapshot into values within the store's size limit. */
final class SnapshotParts {

  /** Maximum size of a part with more than one record, in bytes. */
  private static final int MAX_PART_BYTES = 256 << 10;

  /**
   * Number of records that a part starts with before it is halved to fit; a record takes up to
   * about 5 KB.
   */
  private static final int MAX_PART_RECORDS = 1_000;

  private SnapshotParts() {}

  /** Returns the encoded parts of a snapshot, in the order in which they are replayed. */
  static List<byte[]> split(List<WorkflowRecord> records) {
    List<byte[]> parts = new ArrayList<>();
    int from = 0;
    int count = MAX_PART_RECORDS;
    while (from < records.size()) {
      int to = Math.min(records.size(), from + count);
      byte[] bytes = WorkflowCodec.encode(records.subList(from, to));
      if (bytes.length > MAX_PART_BYTES && to - from > 1) {
        count = Math.max(1, (to - from) / 2);
        continue;
      }
      parts.add(bytes);
      from = to;
      count = MAX_PART_RECORDS;
    }
    return parts;
  }
}
