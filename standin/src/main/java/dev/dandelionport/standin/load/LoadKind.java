package dev.dandelionport.standin.load;

import java.util.Locale;
import java.util.random.RandomGenerator;

/** Kinds of request that the load tool submits. */
enum LoadKind {
  /** Urgent; the caller waits for the result. */
  URGENT("urgent", 1, true, 30),
  /** Deferrable; the caller waits for the result. */
  DEFERRABLE("deferrable", 1, true, 20),
  /** Four tasks that run at the same time. */
  GANG("gang", 4, true, 10),
  /** Urgent; must run at most once. */
  NOT_REPEATABLE("urgent", 1, false, 20),
  /** Deferrable; the caller does not wait and fetches the result by its request key. */
  FETCHED("deferrable", 1, true, 8),
  /** Urgent; submitted without a key through an open queue. */
  OPEN("urgent", 1, true, 5),
  /** Service that the caller cancels shortly after its start. */
  SERVICE("service", 1, true, 3),
  /** Deferrable; cancelled as soon as it is accepted. */
  CANCELLED("deferrable", 1, true, 4);

  /** Sum of the weights of all kinds. */
  private static final int WEIGHTS = 100;

  final String workloadClass;
  final int tasks;
  final boolean repeatable;
  private final int weight;

  LoadKind(String workloadClass, int tasks, boolean repeatable, int weight) {
    this.workloadClass = workloadClass;
    this.tasks = tasks;
    this.repeatable = repeatable;
    this.weight = weight;
  }

  /** Returns a random kind, chosen by weight. */
  static LoadKind choose(RandomGenerator random) {
    int n = random.nextInt(WEIGHTS);
    for (LoadKind k : values()) {
      n -= k.weight;
      if (n < 0) {
        return k;
      }
    }
    return URGENT;
  }

  /** Returns whether the caller cancels the job. */
  boolean isCancelled() {
    return this == SERVICE || this == CANCELLED;
  }

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
