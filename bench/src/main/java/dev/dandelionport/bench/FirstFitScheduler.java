package dev.dandelionport.bench;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.AttemptOutcome;
import dev.dandelionport.core.scheduler.Effect;
import dev.dandelionport.core.scheduler.Event;
import dev.dandelionport.core.scheduler.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Baseline: takes jobs in order of arrival and puts each task on the first worker it fits on. */
final class FirstFitScheduler implements BenchmarkScheduler {

  private static final class Worker {
    WorkerInfo info;
    ResourceVector free;
    String incarnation = "";
    boolean usable;
    final Map<AttemptId, ResourceVector> committed = new HashMap<>();
  }

  private static final class Task {
    final JobSpec spec;
    final int index;
    int attempts;

    Task(JobSpec spec, int index) {
      this.spec = spec;
      this.index = index;
    }
  }

  private final Map<WorkerId, Worker> workers = new LinkedHashMap<>();
  private final List<List<Task>> queue = new ArrayList<>();
  private final Map<AttemptId, Task> running = new HashMap<>();
  private Manifest manifest;
  private List<Effect> effects = new ArrayList<>();
  private long candidatesExamined;

  FirstFitScheduler(Manifest manifest) {
    this.manifest = manifest;
  }

  @Override
  public long candidatesExamined() {
    return candidatesExamined;
  }

  @Override
  public List<Effect> handle(Event event, long now) {
    effects = new ArrayList<>();
    if (event instanceof Event.Submit e) {
      submit(e.spec());
    } else if (event instanceof Event.FleetChanged e) {
      e.workers().forEach(this::addWorker);
    } else if (event instanceof Event.WorkerReport e) {
      handleReport(workers.get(e.worker()), e.reply());
    } else if (event instanceof Event.WorkerUnresponsive e) {
      workers.get(e.worker()).usable = false;
    } else if (event instanceof Event.WorkerLost e) {
      Worker w = workers.get(e.worker());
      List.copyOf(w.committed.keySet()).forEach(a -> endAttempt(w, a, false));
    } else if (event instanceof Event.ManifestChanged e) {
      manifest = e.manifest();
    }
    if (!(event instanceof Event.Tick)) {
      place();
    }
    return effects;
  }

  private void submit(JobSpec spec) {
    List<Task> gang = new ArrayList<>();
    for (int i = 0; i < spec.tasks(); i++) {
      Task t = new Task(spec, i);
      if (spec.workloadClass() == WorkloadClass.GANG) {
        gang.add(t);
      } else {
        queue.add(List.of(t));
      }
    }
    if (!gang.isEmpty()) {
      queue.add(gang);
    }
  }

  private void addWorker(WorkerInfo info) {
    Worker w = new Worker();
    w.info = info;
    w.free = info.capacity();
    workers.put(info.id(), w);
  }

  private void handleReport(Worker w, SyncReply reply) {
    w.usable = true;
    boolean restarted = !w.incarnation.isEmpty() && !w.incarnation.equals(reply.incarnation());
    w.incarnation = reply.incarnation();
    for (SyncReply.Finished f : reply.finished()) {
      endAttempt(w, f.attempt(), f.outcome() == AttemptOutcome.SUCCEEDED);
    }
    if (restarted) {
      List.copyOf(w.committed.keySet()).forEach(a -> endAttempt(w, a, false));
    }
  }

  private void endAttempt(Worker w, AttemptId a, boolean succeeded) {
    ResourceVector size = w.committed.remove(a);
    Task t = running.remove(a);
    if (size != null) {
      w.free = w.free.plus(size);
    }
    if (t != null && !succeeded) {
      queue.add(List.of(t));
    }
  }

  private void place() {
    Set<ResourceVector> unplaceableSizes = new HashSet<>();
    for (Iterator<List<Task>> i = queue.iterator(); i.hasNext(); ) {
      List<Task> tasks = i.next();
      ResourceVector size = tasks.get(0).spec.taskSize();
      if (!unplaceableSizes.contains(size)) {
        if (start(tasks)) {
          i.remove();
        } else if (tasks.size() == 1) {
          unplaceableSizes.add(size);
        }
      }
    }
  }

  private boolean start(List<Task> tasks) {
    ResourceVector size = tasks.get(0).spec.taskSize();
    List<Worker> chosen = new ArrayList<>();
    for (Task t : tasks) {
      Worker w = firstFit(size);
      if (w == null) {
        chosen.forEach(c -> c.free = c.free.plus(size));
        return false;
      }
      w.free = w.free.minus(size);
      chosen.add(w);
    }
    for (int i = 0; i < tasks.size(); i++) {
      Task t = tasks.get(i);
      Worker w = chosen.get(i);
      AttemptId a = new AttemptId(t.spec.key(), t.index, ++t.attempts);
      w.committed.put(a, size);
      running.put(a, t);
      effects.add(new Effect.StartTask(a, w.info.id(), w.incarnation, t.spec, true));
    }
    return true;
  }

  private Worker firstFit(ResourceVector size) {
    for (Worker w : workers.values()) {
      candidatesExamined++;
      if (w.usable && size.fitsIn(w.free) && manifest.inService(w.info.failureDomain())) {
        return w;
      }
    }
    return null;
  }
}
