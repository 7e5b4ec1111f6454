package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.CellSimulation.Outcome;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Tests the service that each of 20 accounts receives while one of them sends seven times its usual
 * load into a cell that is nearly full without it.
 */
class HotAccountTest {

  /** Number of seeds; {@code -Dworkflow.seeds=20} sets more. */
  private static final int SEEDS = Integer.getInteger("workflow.seeds", 3);

  private static final int ACCOUNTS = 20;

  /**
   * Factor for the rates below that fills 0.9 of the cell: their distributions are cut off, so the
   * sampled work at the rates themselves is only 0.81 of it.
   */
  private static final double LOAD_FACTOR = 1.11;

  private static final String HOT = account(0);
  private static final double HOT_FACTOR = 7;
  private static final long HOT_FROM_MILLIS = 8_000;
  private static final long HOT_UNTIL_MILLIS = 16_000;
  private static final long LAST_ARRIVAL_MILLIS = 26_000;

  /** End of the simulation, after which nothing that is unfinished could be of use. */
  private static final long END_MILLIS = 50_000;

  private static final int RUNNERS = 245;
  private static final int INSTANCES = 29;
  private static final ResourceVector CAPACITY = new ResourceVector(0, 0, 64_000, 262_144, 0);

  /**
   * Workflows per second that each account may submit: more than the hot account sends, so that
   * only the shares tell it from the others.
   */
  private static final double WEIGHT = 60;

  /** Queues of a deployment whose means add up to 0.89 of the cell. */
  private static final List<QueueLoad> LOADS =
      List.of(
          new QueueLoad(
              "interactive",
              0,
              77,
              1,
              3,
              0.5,
              9_900,
              18_000,
              800,
              0.2,
              false,
              0,
              1.5,
              250,
              0.44,
              new Advice(12, 0.17, 2_500),
              0.7),
          new QueueLoad(
              "gang",
              1,
              3.34,
              1.2,
              16,
              0.5,
              18_000,
              26_000,
              6_200,
              0.5,
              true,
              0.5,
              2.2,
              1_000,
              9.45,
              new Advice(559, 8.1, 2_500),
              0.35),
          new QueueLoad(
              "batch",
              2,
              8.63,
              1.5,
              25,
              0.5,
              6_900,
              7_000,
              2_200,
              0.2,
              false,
              0.8,
              4,
              3_000,
              2.23,
              new Advice(104, 1.4, 2_500),
              0.45));

  // Guards against an account whose load at seven times its usual rate, within its weight, takes
  // the
  // cell from the others.
  @Test
  void othersKeepTheirServiceBesideHotAccount() {
    Map<String, Outcome> usual = simulate(1);
    Map<String, Outcome> hot = simulate(HOT_FACTOR);
    Outcome othersUsual = Outcome.NONE;
    Outcome othersHot = Outcome.NONE;
    for (int i = 1; i < ACCOUNTS; i++) {
      othersUsual = othersUsual.plus(usual.get(account(i)));
      othersHot = othersHot.plus(hot.get(account(i)));
    }
    assertThat(othersHot.earnedFraction())
        .as("with %s, without %s", othersHot, othersUsual)
        .isGreaterThan(othersUsual.earnedFraction() - 0.03);
    double[] shares = hot.values().stream().mapToDouble(Outcome::earnedFraction).sorted().toArray();
    double mean = Arrays.stream(shares).average().orElseThrow();
    int worstTenth = ACCOUNTS / 10;
    assertThat(Arrays.stream(shares).limit(worstTenth).average().orElseThrow())
        .as("%s", hot)
        .isGreaterThan(0.8 * mean);
  }

  // Guards against a changed order or fewer preemptions where there is nobody to share with.
  @Test
  void loneAccountIsServedAsWorkWithoutAccount() {
    List<QueueLoad> loads = ClassShareTest.LOADS;
    List<Account> accounts = List.of(new Account(HOT, List.of(), 1_000, ResourceVector.ZERO));
    List<List<Outcome>> outcomes = new ArrayList<>();
    for (String account : List.of("", HOT)) {
      CellSimulation c = new CellSimulation(loads, accounts, 33, CAPACITY, 9, 1);
      c.arrivals(account, 0, 16_000, 1.4);
      c.run(30_000, 0, 0);
      outcomes.add(loads.stream().map(l -> c.outcome(l.name(), 0, 30_000)).toList());
    }
    assertThat(outcomes.get(1)).isEqualTo(outcomes.get(0));
  }

  private static String account(int i) {
    return String.format("account-%02d", i);
  }

  /** Simulates all seeds and returns the outcome of each account. */
  private static Map<String, Outcome> simulate(double hotFactor) {
    List<Account> accounts = new ArrayList<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      accounts.add(new Account(account(i), List.of(), WEIGHT, ResourceVector.ZERO));
    }
    Map<String, Outcome> sums = new TreeMap<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      CellSimulation c = new CellSimulation(LOADS, accounts, RUNNERS, CAPACITY, INSTANCES, seed);
      for (Account a : accounts) {
        c.arrivals(a.name(), 0, LAST_ARRIVAL_MILLIS, LOAD_FACTOR / ACCOUNTS);
      }
      if (hotFactor > 1) {
        c.arrivals(
            HOT, HOT_FROM_MILLIS, HOT_UNTIL_MILLIS, LOAD_FACTOR * (hotFactor - 1) / ACCOUNTS);
      }
      c.run(END_MILLIS, 0, 0);
      for (Account a : accounts) {
        sums.merge(a.name(), c.outcomeOfAccount(a.name(), 0, END_MILLIS), Outcome::plus);
      }
    }
    return sums;
  }
}
