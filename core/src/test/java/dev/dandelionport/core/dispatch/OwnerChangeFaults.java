package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.port.SharedStore.Transaction;
import java.util.Random;

/**
 * Random faults around the moment at which the owner's records are stored, together with changes of
 * keys and queues, and random faults of messages between instances.
 */
final class OwnerChangeFaults {

  private static final int MIN_WRITES_PER_FAULT = 25;

  /** One of so many steps begins a fault of messages or of a connection. */
  private static final int STEPS_PER_FAULT = 10;

  /** Longest time from a write to the fault, in milliseconds. */
  private static final int MAX_FAULT_DELAY_MILLIS = 12;

  /** Longest time from a fault of the owner to a change of the configuration, in milliseconds. */
  private static final int MAX_CHANGE_DELAY_MILLIS = 1_500;

  private static final int MIN_FAULT_MILLIS = 300;
  private static final int MAX_FAULT_MILLIS = 4_000;
  private static final long RESTART_MILLIS = 1_000;
  private static final long FAULT_RECOVERY_MILLIS = 2_000;

  private final PlatformCluster cell;
  private final Random random;

  /** One of so many writes to the store is followed by a fault of the owner. */
  private final int writesPerFault;

  private boolean ended;

  OwnerChangeFaults(PlatformCluster cell, long seed) {
    this.cell = cell;
    this.random = new Random(31 * seed + 17);
    this.writesPerFault = MIN_WRITES_PER_FAULT << random.nextInt(3);
    cell.cluster.messageFaults = new MessageFaults(seed);
    cell.store.committed = this::stored;
  }

  private void stored(Transaction t) {
    if (ended || random.nextInt(writesPerFault) > 0) {
      return;
    }
    int delayMillis = random.nextBoolean() ? 0 : random.nextInt(MAX_FAULT_DELAY_MILLIS);
    cell.time.afterMillis(delayMillis, this::ownerFault);
    if (random.nextBoolean()) {
      int changeMillis = random.nextBoolean() ? 0 : random.nextInt(MAX_CHANGE_DELAY_MILLIS);
      cell.time.afterMillis(changeMillis, this::configurationChange);
    }
  }

  private void ownerFault() {
    cell.cluster.owner().ifPresent(this::ownerFault);
  }

  private void ownerFault(WorkflowCluster.Node owner) {
    long millis = faultMillis();
    switch (random.nextInt(5)) {
      case 0, 1 -> kill(owner.name);
      case 2 -> {
        record("pause owner " + owner.name, millis);
        owner.process.pause();
        cell.time.afterMillis(millis, owner.process::resume);
      }
      case 3 -> {
        record("suspend owner " + owner.name, millis);
        owner.process.suspend();
        cell.time.afterMillis(millis, owner.process::resume);
      }
      default -> {
        record("store refuses owner " + owner.name, millis);
        cell.store.refusedCallers.add(owner.name);
        cell.time.afterMillis(millis, () -> cell.store.refusedCallers.remove(owner.name));
      }
    }
  }

  private void kill(String name) {
    record("kill owner " + name, RESTART_MILLIS);
    cell.cluster.kill(name);
    cell.time.afterMillis(RESTART_MILLIS, () -> cell.cluster.start(name));
  }

  private void configurationChange() {
    long millis = faultMillis();
    if (random.nextInt(3) == 0) {
      record("batch queue removed", millis);
      cell.configure(false, PlatformCluster.CEILING);
      cell.time.afterMillis(millis, () -> cell.configure(true, PlatformCluster.CEILING));
      return;
    }
    String account = random.nextBoolean() ? "a" : "b";
    record("key removed " + account, millis);
    cell.accountsWithoutKey.add(account);
    cell.configure(true, PlatformCluster.CEILING);
    cell.time.afterMillis(millis, () -> returnKey(account));
  }

  private void returnKey(String account) {
    cell.accountsWithoutKey.remove(account);
    cell.configure(true, PlatformCluster.CEILING);
  }

  /** Begins a fault of messages or of a connection, or none. */
  void injectNext() {
    if (random.nextInt(STEPS_PER_FAULT) > 0) {
      return;
    }
    long millis = faultMillis();
    MessageFaults faults = cell.cluster.messageFaults;
    switch (random.nextInt(4)) {
      case 0 -> {
        record("answers between instances lost", millis);
        faults.lostAnswerFraction = random.nextDouble();
        cell.time.afterMillis(millis, () -> faults.lostAnswerFraction = 0);
      }
      case 1 -> {
        record("messages between instances late", millis);
        faults.lateFraction = random.nextDouble() * 0.5;
        cell.time.afterMillis(millis, () -> faults.lateFraction = 0);
      }
      case 2 -> {
        String name = "n" + random.nextInt(PlatformCluster.INSTANCES);
        record("disconnect from peers " + name, millis);
        cell.cluster.cutInstances.add(name);
        cell.time.afterMillis(millis, () -> cell.cluster.cutInstances.remove(name));
      }
      default -> configurationChange();
    }
  }

  /** Begins no further faults; those under way end by themselves. */
  void end() {
    ended = true;
  }

  private long faultMillis() {
    return MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS - MIN_FAULT_MILLIS);
  }

  private void record(String description, long millis) {
    long now = cell.time.nowMillis();
    cell.trace.add(now + " FAULT " + description + " " + millis);
    cell.invariants.lastFaultEndMillis =
        Math.max(cell.invariants.lastFaultEndMillis, now + millis + FAULT_RECOVERY_MILLIS);
  }
}
