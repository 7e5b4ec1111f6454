package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.journal.JournalWriter;

/** Reports the callbacks of a journal writer as engine events. Guarded by the partition's shard. */
final class JournalEventReporter implements JournalWriter.Listener {

  private final PartitionId partition;
  private final Shard shard;
  private final HostContext context;
  private final Runnable stop;

  /**
   * Creates a reporter.
   *
   * @param stop called, with the shard locked, when the journal is fenced or cannot be read, so
   *     that the host stops
   */
  JournalEventReporter(PartitionId partition, Shard shard, HostContext context, Runnable stop) {
    this.partition = partition;
    this.shard = shard;
    this.context = context;
    this.stop = stop;
  }

  @Override
  public void fenced() {
    stop.run();
  }

  @Override
  public void committed(int count, long millis) {
    report(new EngineEvent.BatchCommitted(partition, count, millis));
  }

  @Override
  public void snapshotWritten(int parts) {
    report(new EngineEvent.SnapshotWritten(partition, parts));
  }

  @Override
  public void unreadable(String message) {
    report(new EngineEvent.AlertRaised(AlertCode.JOURNAL_UNREADABLE, message));
    stop.run();
  }

  private void report(EngineEvent e) {
    shard.runAfterUnlock(() -> context.observe(e));
  }
}
