package dev.dandelionport.core.manifest;

import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The operators' configuration of a cell, as one versioned document.
 *
 * @param version increases by one with each commit
 * @param cell name of the cell
 * @param regions regions and their number of partitions
 * @param failureDomains failure domains and whether they are in service
 * @param teams teams with their shares, limits and keys
 * @param queues queues to which callers may submit jobs
 * @param clientAccounts client accounts that teams refer to
 * @param policies policy of each workload class
 * @param commit author and time of the commit
 */
public record Manifest(
    long version,
    String cell,
    List<Region> regions,
    List<FailureDomain> failureDomains,
    List<Team> teams,
    List<Queue> queues,
    List<ClientAccount> clientAccounts,
    Policies policies,
    Commit commit) {

  /** Copies the lists and replaces missing parts with their defaults. */
  public Manifest {
    regions = List.copyOf(regions);
    failureDomains = List.copyOf(failureDomains);
    teams = List.copyOf(teams);
    queues = List.copyOf(queues);
    clientAccounts = clientAccounts == null ? List.of() : List.copyOf(clientAccounts);
    policies = policies == null ? Policies.DEFAULT : policies;
    commit = commit == null ? Commit.NONE : commit;
  }

  /** Creates a manifest with default policies and without client accounts. */
  public Manifest(
      long version,
      String cell,
      List<Region> regions,
      List<FailureDomain> failureDomains,
      List<Team> teams,
      List<Queue> queues) {
    this(version, cell, regions, failureDomains, teams, queues, List.of(), null, null);
  }

  /** Returns a copy of this manifest with another commit entry. */
  public Manifest withCommit(Commit by) {
    return new Manifest(
        version, cell, regions, failureDomains, teams, queues, clientAccounts, policies, by);
  }

  /**
   * Returns the next version of the manifest, with the failure domain in service or out of service.
   */
  public Manifest withInService(String failureDomain, boolean inService) {
    List<FailureDomain> domains =
        failureDomains.stream()
            .map(
                d ->
                    d.id().equals(failureDomain)
                        ? new FailureDomain(d.id(), d.region(), inService)
                        : d)
            .toList();
    return new Manifest(
        version + 1, cell, regions, domains, teams, queues, clientAccounts, policies, commit);
  }

  /** Returns the team with this id, or empty if there is none. */
  public Optional<Team> team(TeamId id) {
    return teams.stream().filter(t -> t.id().equals(id.value())).findFirst();
  }

  /** Returns the queue with this id, or empty if there is none. */
  public Optional<Queue> queue(String id) {
    return queues.stream().filter(q -> q.id().equals(id)).findFirst();
  }

  /** Returns whether the failure domain exists and is in service. */
  public boolean inService(String failureDomain) {
    return failureDomains.stream().anyMatch(d -> d.id().equals(failureDomain) && d.inService());
  }

  /** Returns all partitions of all regions, in order. */
  public List<PartitionId> partitions() {
    List<PartitionId> all = new ArrayList<>();
    for (Region r : regions) {
      all.addAll(r.partitionIds());
    }
    return all;
  }

  /** Returns the partitions of one region, in order. */
  public List<PartitionId> partitionsOf(String region) {
    return partitions().stream().filter(p -> p.region().equals(region)).toList();
  }
}
