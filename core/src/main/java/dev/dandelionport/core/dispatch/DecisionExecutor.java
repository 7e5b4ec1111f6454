package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.workflow.WorkflowDecision;
import dev.dandelionport.core.workflow.WorkflowEffect;
import dev.dandelionport.core.workflow.WorkflowScheduler;
import java.util.ArrayList;
import java.util.List;

/**
 * Carries out the scheduler's decisions: stops and log entries at once, starts and published states
 * once their records are durable. Guarded by the owner's shard.
 */
final class DecisionExecutor {

  private final DispatchContext context;
  private final Shard shard;
  private final WorkflowScheduler scheduler;
  private final RunnerLinks links;

  /** Time at which a record last became durable, on the monotonic clock. */
  private long durableMillis;

  private WorkflowJournal journal;
  private boolean closed;

  DecisionExecutor(
      DispatchContext context, Shard shard, WorkflowScheduler scheduler, RunnerLinks links) {
    this.context = context;
    this.shard = shard;
    this.scheduler = scheduler;
    this.links = links;
    this.durableMillis = context.nowMillis();
  }

  /** Sets the journal, which must happen before the first decision is executed. */
  void setJournal(WorkflowJournal j) {
    journal = j;
  }

  /** Stops the execution, also of what waits for records to become durable. */
  void close() {
    closed = true;
  }

  /** Returns the time at which a record last became durable, on the monotonic clock. */
  long durableMillis() {
    return durableMillis;
  }

  /** Executes the scheduler's decisions since the last call. */
  void execute() {
    WorkflowDecision d = scheduler.takeDecision();
    if (closed || d.records().isEmpty() && d.effects().isEmpty()) {
      return;
    }
    List<WorkflowEffect> durableEffects = new ArrayList<>();
    for (WorkflowEffect e : d.effects()) {
      if (e instanceof WorkflowEffect.Stop s) {
        links.get(s.runner()).stop(s.task(), s.run());
      } else if (e instanceof WorkflowEffect.LogEntry n) {
        report(n);
      } else {
        durableEffects.add(e);
      }
    }
    if (!d.records().isEmpty() || !durableEffects.isEmpty()) {
      journal.append(d.records(), () -> applyDurable(durableEffects));
    }
  }

  private void report(WorkflowEffect.LogEntry n) {
    List<Object> fields = new ArrayList<>(List.of("decision", n.topic().name()));
    fields.addAll(n.fields());
    shard.runAfterUnlock(() -> context.report(DispatchTopic.DECISION, fields.toArray()));
  }

  private void applyDurable(List<WorkflowEffect> effects) {
    if (closed) {
      return;
    }
    durableMillis = context.nowMillis();
    for (WorkflowEffect e : effects) {
      if (e instanceof WorkflowEffect.Start s) {
        links.get(s.runner()).start(s.task(), s.run());
      } else if (e instanceof WorkflowEffect.PublishState s) {
        scheduler.markStateDurable(s.workflow(), s.state());
      }
    }
  }
}
