package dev.dandelionport.node.request;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.engine.ControlState;
import dev.dandelionport.core.engine.InstanceEngine;
import dev.dandelionport.core.manifest.FailureDomain;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.Team;
import dev.dandelionport.core.message.PartitionFigures;
import dev.dandelionport.core.message.PartitionFigures.TeamFigures;
import dev.dandelionport.core.ownership.PartitionOwner;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Builds the cell status for operators from the state of one instance and calls to the others. */
final class CellStatus {

  private final InstanceEngine engine;
  private final CellInspector inspector;

  CellStatus(InstanceEngine engine, CellInspector inspector) {
    this.engine = engine;
    this.inspector = inspector;
  }

  CompletableFuture<ObjectNode> describe() {
    ControlState s = engine.state();
    return inspector
        .inspectAll(s.manifest().map(Manifest::partitions).orElse(List.of()))
        .thenApply(f -> describe(s, f));
  }

  private ObjectNode describe(ControlState s, CellInspector.Figures f) {
    ObjectNode n = Answers.JSON.createObjectNode();
    n.put("instance", engine.self().id().toString());
    n.put("region", engine.self().region());
    n.put("authority", engine.hasAuthority());
    n.put("stopping", engine.isStopping());
    n.set("manifest", manifest(s.manifest()));
    n.put("assignmentVersion", s.table().version());
    n.set("instances", instances(s, f));
    n.set("partitions", partitions(s, f));
    n.set("failureDomains", failureDomains(s.manifest(), engine.workers(), f));
    n.set("teams", teams(s.manifest(), f));
    return n;
  }

  private static ObjectNode manifest(Optional<Manifest> m) {
    ObjectNode n = Answers.JSON.createObjectNode();
    n.put("version", m.map(Manifest::version).orElse(0L));
    n.put("author", m.map(x -> x.commit().author()).orElse(""));
    n.put("committedMillis", m.map(x -> x.commit().committedMillis()).orElse(0L));
    return n;
  }

  private static ArrayNode instances(ControlState s, CellInspector.Figures f) {
    ArrayNode list = Answers.JSON.createArrayNode();
    for (InstanceInfo i : s.table().members().values()) {
      ObjectNode n = list.addObject();
      n.put("id", i.id().toString()).put("region", i.region());
      n.put("failureDomain", i.failureDomain()).put("live", s.live().contains(i.id()));
      if (f.manifestVersions().containsKey(i.id())) {
        n.put("manifestVersion", f.manifestVersions().get(i.id()));
      }
    }
    return list;
  }

  private static ArrayNode partitions(ControlState s, CellInspector.Figures f) {
    ArrayNode list = Answers.JSON.createArrayNode();
    for (PartitionId p : s.manifest().map(Manifest::partitions).orElse(List.of())) {
      Optional<PartitionOwner> o = s.table().owner(p);
      ObjectNode n = list.addObject();
      n.put("id", p.toString());
      n.put("owner", o.map(x -> x.owner().toString()).orElse(""));
      n.put("epoch", o.map(PartitionOwner::epoch).orElse(0L));
      n.put("ownerLive", o.filter(x -> s.live().contains(x.owner())).isPresent());
      if (f.partitions().containsKey(p)) {
        PartitionFigures x = f.partitions().get(p).figures();
        n.put("waitingTasks", x.waitingTasks()).put("runningTasks", x.runningTasks());
        n.put("workersUsable", x.workersUsable()).put("workersHeldBack", x.workersHeldBack());
      }
    }
    return list;
  }

  /**
   * Counts workers only in this instance's region, since it reads no other region's worker list.
   */
  private ArrayNode failureDomains(
      Optional<Manifest> m, List<WorkerInfo> workers, CellInspector.Figures f) {
    ArrayNode list = Answers.JSON.createArrayNode();
    for (FailureDomain d : m.map(Manifest::failureDomains).orElse(List.of())) {
      ObjectNode n = list.addObject();
      n.put("id", d.id()).put("region", d.region()).put("inService", d.inService());
      if (d.region().equals(engine.self().region())) {
        List<WorkerInfo> domainWorkers =
            workers.stream().filter(w -> w.failureDomain().equals(d.id())).toList();
        n.put("workers", domainWorkers.size());
        n.put("leaving", domainWorkers.stream().filter(WorkerInfo::leaving).count());
      }
      List<PartitionId> regionPartitions = m.orElseThrow().partitionsOf(d.region());
      if (f.partitions().keySet().containsAll(regionPartitions)) {
        n.put(
            "runningTasks",
            regionPartitions.stream()
                .mapToInt(
                    p -> f.partitions().get(p).figures().runningByDomain().getOrDefault(d.id(), 0))
                .sum());
      }
    }
    return list;
  }

  private static ArrayNode teams(Optional<Manifest> m, CellInspector.Figures f) {
    ArrayNode list = Answers.JSON.createArrayNode();
    for (Team t : m.map(Manifest::teams).orElse(List.of())) {
      ObjectNode n = list.addObject();
      n.put("id", t.id()).put("clientAccount", t.clientAccount()).put("share", t.share());
      n.put("limit", t.limit()).put("admissionPerSecond", t.admissionPerSecond());
      n.put("keys", t.keys().size());
      List<PartitionId> homePartitions = m.orElseThrow().partitionsOf(t.homeRegion());
      if (f.partitions().keySet().containsAll(homePartitions)) {
        List<TeamFigures> figures =
            homePartitions.stream()
                .map(p -> f.partitions().get(p).figures().teams().get(t.id()))
                .filter(Objects::nonNull)
                .toList();
        n.put("runningTasks", figures.stream().mapToInt(TeamFigures::running).sum());
        n.put(
            "deviation",
            TeamDeviation.of(
                t.id(),
                homePartitions.stream().map(p -> f.partitions().get(p).figures()).toList()));
      }
    }
    return list;
  }
}
