package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.message.PeerMessage.MemberCall;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The instances that could own the workflows. The owner hears from all of them; the others know the
 * largest ones, which the owner tells those that are clearly smaller. Guarded by the instance's
 * shard.
 */
final class MemberTable {

  /** Time after which an instance that says nothing does not count as there, in milliseconds. */
  private static final long HEARD_MILLIS = 1_000;

  /**
   * Time for which what the owner said counts, in milliseconds; an owner that lost its power is
   * replaced after 1 to 2 s.
   */
  private static final long TOLD_MILLIS = 3_000;

  /** Contact without a gap after which the owner hands over to an instance, in milliseconds. */
  private static final long CONTACT_MILLIS = 3_000;

  /** Ratio of capacities from which an instance is clearly larger than another. */
  private static final double LARGER = 1.5;

  /** Most instances that the owner names in an answer. */
  private static final int NAMED = 2;

  /**
   * Longest wait for an answer of a larger instance before a claim, in milliseconds; it may be
   * paused or cut off.
   */
  private static final long ASK_MILLIS = 100;

  private static final long NOT_ASKED = Long.MIN_VALUE;

  private record Heard(MemberCall call, long sinceMillis, long lastMillis) {}

  private static final Comparator<Heard> LARGEST_FIRST =
      Comparator.comparingLong((Heard h) -> h.call().capacity())
          .reversed()
          .thenComparingLong(Heard::sinceMillis);

  private final DispatchContext context;
  private final Map<String, Heard> heard = new TreeMap<>();
  private List<MemberCall> told = List.of();
  private long toldMillis;

  /** When the larger instance was asked that has not answered yet; {@code NOT_ASKED}: none was. */
  private long askedMillis = NOT_ASKED;

  MemberTable(DispatchContext context) {
    this.context = context;
  }

  /** Notes what an instance says of itself to the owner. */
  void heard(MemberCall m) {
    long now = context.nowMillis();
    heard.merge(
        m.member().id().value(),
        new Heard(m, now, now),
        (before, x) -> {
          boolean gap = !before.call().mayClaim() || now - before.lastMillis() > HEARD_MILLIS;
          return new Heard(m, gap ? now : before.sinceMillis(), now);
        });
  }

  /** Notes which larger instances the owner names. */
  void told(List<MemberCall> larger) {
    told = larger;
    toldMillis = context.nowMillis();
  }

  /** Returns whether the larger instance was asked whether it is there, and has not answered. */
  boolean isAsking() {
    return askedMillis != NOT_ASKED;
  }

  /** Notes that the larger instance is asked whether it is there. */
  void asked() {
    askedMillis = context.nowMillis();
  }

  /** Notes that the larger instance has answered. */
  void answered() {
    askedMillis = NOT_ASKED;
  }

  /** Returns how long the larger instance may still take to answer, in milliseconds. */
  long patienceMillis() {
    long waited = askedMillis == NOT_ASKED ? 0 : context.nowMillis() - askedMillis;
    return Math.max(1, ASK_MILLIS - waited);
  }

  /** Notes that an instance cannot claim the workflows now. */
  void unfit(InstanceInfo member) {
    askedMillis = NOT_ASKED;
    told = told.stream().filter(m -> !m.member().equals(member)).toList();
  }

  /** Forgets what was heard as the owner, but for the instances that should claim first. */
  void ownerChanged() {
    if (!heard.isEmpty()) {
      told(largerThan(context.settings().ownerCapacity()));
      heard.clear();
    }
  }

  /**
   * Returns the largest instances that may claim and are clearly larger than one of {@code
   * capacity}, the largest first.
   */
  List<MemberCall> largerThan(long capacity) {
    return present(capacity).limit(NAMED).map(Heard::call).toList();
  }

  private Stream<Heard> present(long capacity) {
    long now = context.nowMillis();
    return heard.values().stream()
        .filter(h -> h.call().mayClaim() && now - h.lastMillis() <= HEARD_MILLIS)
        .filter(h -> h.call().capacity() >= LARGER * capacity)
        .sorted(LARGEST_FIRST);
  }

  /**
   * Returns the instance to which the owner should hand over: the largest one, once it has been in
   * contact for a while. Empty until then, so that the workflows move once, and if it is not
   * clearly larger.
   */
  Optional<InstanceInfo> successor() {
    long now = context.nowMillis();
    heard.values().removeIf(h -> now - h.lastMillis() > HEARD_MILLIS);
    return present(context.settings().ownerCapacity())
        .findFirst()
        .filter(h -> now - h.sinceMillis() >= CONTACT_MILLIS)
        .map(h -> h.call().member());
  }

  /** Returns a clearly larger instance that should claim before this one, as the owner told. */
  Optional<InstanceInfo> larger() {
    boolean known = context.nowMillis() - toldMillis <= TOLD_MILLIS;
    return told.stream().filter(m -> known).map(MemberCall::member).findFirst();
  }
}
