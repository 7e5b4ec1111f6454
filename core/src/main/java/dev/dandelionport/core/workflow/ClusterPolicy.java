package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Configuration of workflows by the operators.
 *
 * @param version version that grows with each change
 * @param queues queues by name
 * @param services pools of runners by name
 * @param accounts client accounts by name
 */
public record ClusterPolicy(
    long version,
    Map<String, Queue> queues,
    Map<String, Service> services,
    Map<String, Account> accounts) {

  /** The policy before any configuration was read. */
  public static final ClusterPolicy NONE = new ClusterPolicy(-1, Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public ClusterPolicy {
    queues = Map.copyOf(queues);
    services = Map.copyOf(services);
    accounts = Map.copyOf(accounts);
  }

  /**
   * A queue.
   *
   * @param name name of the queue
   * @param host host in the calls to this queue, without the port
   * @param prefix prefix of the path in the calls to this queue
   * @param timeoutMillis timeout of a call to the queue
   * @param allowanceMillis time that a workflow may take in addition to {@code slackFactor} times
   *     its critical path
   * @param priority priority of its work: 0 is the highest and may preempt others
   * @param service service whose runners run its tasks
   * @param maxFailures number of failed runs of a task after which its workflow fails
   * @param slackFactor multiple of its critical path that a workflow may take
   * @param advice cost of advice calls; empty if all runners of the service are allowed
   * @param open whether callers may submit without an API key
   */
  public record Queue(
      String name,
      String host,
      String prefix,
      long timeoutMillis,
      long allowanceMillis,
      int priority,
      String service,
      int maxFailures,
      double slackFactor,
      Optional<Advice> advice,
      boolean open) {}

  /**
   * Cost of advice calls and validity of their tickets.
   *
   * @param decideMillis fixed time of a call
   * @param perRunnerMillis additional time of a call for each runner named in it
   * @param validMillis time for which tickets are valid
   */
  public record Advice(double decideMillis, double perRunnerMillis, long validMillis) {}

  /** A pool of runners; {@code enforcesCapacity} is whether they refuse starts that do not fit. */
  public record Service(String name, boolean enforcesCapacity, boolean standby) {}

  /**
   * A client account.
   *
   * @param name name of the account
   * @param keys API keys
   * @param weight its share of a full cell relative to other accounts, and workflows per second
   *     that it may submit; what exceeds this rate ranks behind other work; where accounts are
   *     compared, until the account is below its fair share
   * @param ceiling maximum resources of its runs; 0 in a component means no limit
   */
  public record Account(String name, List<String> keys, double weight, ResourceVector ceiling) {
    /** Copies the list. */
    public Account {
      keys = List.copyOf(keys);
    }
  }

  /** Returns the queue whose host and path prefix match a call; the longest prefix wins. */
  public Optional<Queue> route(String host, String path) {
    Queue best = null;
    for (Queue q : queues.values()) {
      boolean fits = q.host().equalsIgnoreCase(host) && path.startsWith(q.prefix());
      if (fits && (best == null || q.prefix().length() > best.prefix().length())) {
        best = q;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the account to which an API key belongs. */
  public Optional<Account> accountOf(String key) {
    return accounts.values().stream().filter(a -> a.keys().contains(key)).findFirst();
  }
}
