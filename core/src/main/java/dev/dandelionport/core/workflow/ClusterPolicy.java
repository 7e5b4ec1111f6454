package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the operators have configured for workflows.
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

  /** Nothing is configured yet. */
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
   * @param name name
   * @param host host that callers name, without its port
   * @param prefix start of the path that callers name
   * @param timeoutMillis time after which a call to the queue is given up
   * @param allowanceMillis time that a workflow may take beyond {@code slackFactor} times its chain
   * @param priority 0 goes first and may preempt others
   * @param service pool whose runners run its tasks
   * @param maxFailures failed runs of a task after which its workflow has failed
   * @param slackFactor how many times its chain of work a workflow may take
   * @param advice what asking for allowed runners costs; empty if all runners of the pool are
   * @param open whether callers need no key
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
   * Cost and life of an advice.
   *
   * @param decideMillis time of a call
   * @param perRunnerMillis time of a call for each runner named in it
   * @param validMillis time for which its tickets can be used
   */
  public record Advice(double decideMillis, double perRunnerMillis, long validMillis) {}

  /** A pool of runners; {@code guardsCapacity} says whether they refuse what does not fit. */
  public record Service(String name, boolean enforcesCapacity, boolean standby) {}

  /**
   * A client account.
   *
   * @param name name
   * @param keys API keys
   * @param weight workflows a second that it is entitled to when the cell is full
   * @param ceiling most that it may have running; 0 in a component is no bound
   */
  public record Account(String name, List<String> keys, double weight, ResourceVector ceiling) {
    /** Copies the list. */
    public Account {
      keys = List.copyOf(keys);
    }
  }

  /** Returns the queue with the longest prefix that a call names. */
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

  /** Returns the account that a key belongs to. */
  public Optional<Account> accountOf(String key) {
    return accounts.values().stream().filter(a -> a.keys().contains(key)).findFirst();
  }
}
