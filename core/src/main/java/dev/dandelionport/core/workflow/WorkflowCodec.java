package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.WorkflowRecord.Accepted;
import dev.dandelionport.core.workflow.WorkflowRecord.Closed;
import dev.dandelionport.core.workflow.WorkflowRecord.Ended;
import dev.dandelionport.core.workflow.WorkflowRecord.Intended;
import dev.dandelionport.core.workflow.WorkflowRecord.PolicyApplied;
import dev.dandelionport.core.workflow.WorkflowRecord.Removed;
import dev.dandelionport.core.workflow.WorkflowRecord.TaskProgress;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes records as a sequence of MessagePack values; each record starts with the number of its
 * kind.
 */
public final class WorkflowCodec {

  private static final int ACCEPTED = 1;
  private static final int INTENDED = 2;
  private static final int ENDED = 3;
  private static final int CLOSED = 4;
  private static final int REMOVED = 5;
  private static final int POLICY_APPLIED = 6;
  private static final int TASK_PROGRESS = 7;

  /** Maximum number of elements in a decoded list; a corrupt length must not exhaust the memory. */
  private static final int MAX_ELEMENTS = 100_000;

  private static final RunEnd[] ENDS = RunEnd.values();
  private static final WorkflowState[] STATES = WorkflowState.values();

  private WorkflowCodec() {}

  /** Encodes records in order. */
  public static byte[] encode(List<WorkflowRecord> records) {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packInt(records.size());
      for (WorkflowRecord r : records) {
        pack(p, r);
      }
      return p.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Decodes records; throws {@link IllegalArgumentException} if the bytes are corrupt. */
  public static List<WorkflowRecord> decode(byte[] bytes) {
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
      int n = checkSize(u.unpackInt());
      List<WorkflowRecord> records = new ArrayList<>();
      for (int i = 0; i < n; i++) {
        records.add(unpack(u));
      }
      return records;
    } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
      throw new IllegalArgumentException("journal batch cannot be read", e);
    }
  }

  /** Encodes one workflow. */
  public static byte[] encodeSpec(WorkflowSpec spec) {
    return encode(List.of(new Accepted(spec, 0)));
  }

  /** Decodes one workflow; throws {@link IllegalArgumentException} if the bytes are corrupt. */
  public static WorkflowSpec decodeSpec(byte[] bytes) {
    List<WorkflowRecord> records = decode(bytes);
    if (records.size() == 1 && records.get(0) instanceof Accepted a) {
      return a.spec();
    }
    throw new IllegalArgumentException(
        "encoded workflow has " + records.size() + " records, expected one accepted workflow");
  }

  private static void pack(MessageBufferPacker p, WorkflowRecord r) throws IOException {
    if (r instanceof Accepted a) {
      p.packInt(ACCEPTED).packLong(a.atMillis());
      packSpec(p, a.spec());
    } else if (r instanceof Intended i) {
      p.packInt(INTENDED);
      packTask(p, i.task());
      p.packInt(i.run()).packString(i.runner()).packLong(i.incarnation());
    } else if (r instanceof Ended e) {
      p.packInt(ENDED);
      packTask(p, e.task());
      p.packInt(e.run()).packInt(e.outcome().ordinal()).packString(e.checkpoint());
    } else if (r instanceof Closed c) {
      p.packInt(CLOSED).packString(c.workflow()).packInt(c.state().ordinal());
      p.packLong(c.atMillis());
    } else if (r instanceof Removed f) {
      p.packInt(REMOVED).packInt(f.workflows().size());
      for (String id : f.workflows()) {
        p.packString(id);
      }
    } else if (r instanceof PolicyApplied s) {
      p.packInt(POLICY_APPLIED).packLong(s.version());
    } else if (r instanceof TaskProgress t) {
      p.packInt(TASK_PROGRESS);
      packTask(p, t.task());
      p.packInt(t.lastRun()).packInt(t.failures()).packInt(t.gangFailedRun());
      p.packBoolean(t.done()).packBoolean(t.workflowStarted()).packString(t.checkpoint());
    }
  }

  private static WorkflowRecord unpack(MessageUnpacker u) throws IOException {
    int kind = u.unpackInt();
    return switch (kind) {
      case ACCEPTED -> {
        long at = u.unpackLong();
        yield new Accepted(unpackSpec(u), at);
      }
      case INTENDED -> new Intended(unpackTask(u), u.unpackInt(), u.unpackString(), u.unpackLong());
      case ENDED -> new Ended(unpackTask(u), u.unpackInt(), ENDS[u.unpackInt()], u.unpackString());
      case CLOSED -> new Closed(u.unpackString(), STATES[u.unpackInt()], u.unpackLong());
      case REMOVED -> {
        List<String> ids = new ArrayList<>();
        for (int n = checkSize(u.unpackInt()); n > 0; n--) {
          ids.add(u.unpackString());
        }
        yield new Removed(ids);
      }
      case POLICY_APPLIED -> new PolicyApplied(u.unpackLong());
      case TASK_PROGRESS ->
          new TaskProgress(
              unpackTask(u),
              u.unpackInt(),
              u.unpackInt(),
              u.unpackInt(),
              u.unpackBoolean(),
              u.unpackBoolean(),
              u.unpackString());
      default -> throw new IllegalArgumentException("journal record of unknown kind " + kind);
    };
  }

  private static void packTask(MessageBufferPacker p, TaskKey t) throws IOException {
    p.packString(t.workflow()).packInt(t.occurrence()).packInt(t.step()).packInt(t.index());
  }

  private static TaskKey unpackTask(MessageUnpacker u) throws IOException {
    return new TaskKey(u.unpackString(), u.unpackInt(), u.unpackInt(), u.unpackInt());
  }

  private static void packSpec(MessageBufferPacker p, WorkflowSpec s) throws IOException {
    p.packString(s.id()).packString(s.queue()).packString(s.account()).packString(s.payload());
    Recurrence r = s.recurrence();
    p.packLong(r.firstMillis()).packLong(r.intervalMillis()).packInt(r.count());
    p.packBoolean(s.excess()).packInt(s.steps().size());
    for (StepSpec step : s.steps()) {
      packStep(p, step);
    }
  }

  private static WorkflowSpec unpackSpec(MessageUnpacker u) throws IOException {
    final String id = u.unpackString();
    final String queue = u.unpackString();
    final String account = u.unpackString();
    final String payload = u.unpackString();
    final Recurrence r = new Recurrence(u.unpackLong(), u.unpackLong(), u.unpackInt());
    final boolean excess = u.unpackBoolean();
    List<StepSpec> steps = new ArrayList<>();
    for (int n = checkSize(u.unpackInt()); n > 0; n--) {
      steps.add(unpackStep(u));
    }
    return new WorkflowSpec(id, queue, account, payload, steps, r, excess);
  }

  private static void packStep(MessageBufferPacker p, StepSpec s) throws IOException {
    ResourceVector v = s.size();
    p.packInt(s.tasks()).packInt(v.slots()).packInt(v.connections()).packLong(v.milliCores());
    p.packLong(v.memoryMb()).packInt(v.accelerators()).packLong(s.estimateMillis());
    p.packInt(s.dependencies().size());
    for (int a : s.dependencies()) {
      p.packInt(a);
    }
    p.packBoolean(s.checkpoints()).packBoolean(s.gang()).packBoolean(s.sameRack());
    p.packString(s.requiredLabel()).packString(s.dataRack()).packInt(s.maxPerRunner());
    p.packBoolean(s.speculative()).packBoolean(s.longRunning()).packBoolean(s.bestEffort());
    p.packString(s.image()).packLong(s.latencyTargetMillis()).packInt(s.maxUnavailable());
  }

  private static StepSpec unpackStep(MessageUnpacker u) throws IOException {
    final int tasks = u.unpackInt();
    final ResourceVector size =
        new ResourceVector(
            u.unpackInt(), u.unpackInt(), u.unpackLong(), u.unpackLong(), u.unpackInt());
    final long estimate = u.unpackLong();
    List<Integer> after = new ArrayList<>();
    for (int n = checkSize(u.unpackInt()); n > 0; n--) {
      after.add(u.unpackInt());
    }
    return new StepSpec(
        tasks,
        size,
        estimate,
        after,
        u.unpackBoolean(),
        u.unpackBoolean(),
        u.unpackBoolean(),
        u.unpackString(),
        u.unpackString(),
        u.unpackInt(),
        u.unpackBoolean(),
        u.unpackBoolean(),
        u.unpackBoolean(),
        u.unpackString(),
        u.unpackLong(),
        u.unpackInt());
  }

  private static int checkSize(int n) {
    if (n < 0 || n > MAX_ELEMENTS) {
      throw new IllegalArgumentException("journal batch has a list of " + n + " elements");
    }
    return n;
  }
}
