package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.port.RunnerClient.Address;
import dev.dandelionport.core.workflow.RunnerDescription;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Links to all runners, and the limits of the calls on them. Guarded by the owner's shard. */
final class RunnerLinks {

  /** Smallest number of first calls to runners, or of orders, that may always be in flight. */
  private static final int MIN_CALLS = 4;

  /**
   * Capacity of a machine, in thousandths of a core, for each call that may always be in flight. A
   * new process on a large machine may contact hundreds of runners at once; only small machines
   * depend on the limit to adapt.
   */
  private static final long CAPACITY_PER_CALL = 5;

  /** Number of orders in flight that a new owner starts with. */
  private static final int INITIAL_ORDERS = 64;

  /** Orders that may wait to be sent, as a multiple of those that may be in flight. */
  private static final int ORDERS_AHEAD = 2;

  private final Function<Address, RunnerLink> createLink;
  private final Map<String, RunnerLink> links = new HashMap<>();
  private final CallLimiter firstCalls;
  private final CallLimiter orders;

  /**
   * Creates an empty collection.
   *
   * @param ownerCapacity capacity of this machine, in thousandths of a core
   * @param createLink creates the link to a runner; its host and port are empty if not known
   */
  RunnerLinks(long ownerCapacity, Function<Address, RunnerLink> createLink) {
    this.createLink = createLink;
    int minCalls = (int) Math.max(MIN_CALLS, ownerCapacity / CAPACITY_PER_CALL);
    this.firstCalls = new CallLimiter(minCalls, minCalls);
    this.orders = new CallLimiter(minCalls, Math.max(minCalls, INITIAL_ORDERS));
  }

  /** Returns the limiter of first calls to runners. */
  CallLimiter firstCalls() {
    return firstCalls;
  }

  /** Returns the limiter of start and stop orders to all runners. */
  CallLimiter orders() {
    return orders;
  }

  /** Returns the link to a runner, creating it if necessary. */
  RunnerLink get(String runner) {
    RunnerLink l = links.get(runner);
    if (l == null) {
      l = createLink.apply(new Address(runner, ""));
      links.put(runner, l);
    }
    return l;
  }

  /** Returns a live view of all links. */
  Collection<RunnerLink> all() {
    return links.values();
  }

  /** Passes on what the directory lists. */
  void setEntries(List<RunnerDescription> runners) {
    for (RunnerDescription r : runners) {
      get(r.id()).setEntry(new Address(r.id(), r.address()), r.incarnation());
    }
  }

  /** Sends the calls that are due on all links. */
  void callIfNeeded() {
    new ArrayList<>(links.values()).forEach(RunnerLink::callIfNeeded);
  }

  /**
   * Returns how many more starts may be placed. Tasks placed behind more orders than can be sent
   * would start no sooner; the others keep their order of urgency and occupy no capacity meanwhile.
   */
  int startsToPlace() {
    int waiting = 0;
    for (RunnerLink l : links.values()) {
      waiting += l.ordersWaiting();
    }
    return ORDERS_AHEAD * orders.limit() - waiting;
  }
}
