package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.message.PeerMessage.Member;
import dev.dandelionport.core.message.PeerMessage.MemberAnswer;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.ArrayList;
import java.util.Collections;
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

  /** Most instances that one knows which it can ask for the owner. */
  private static final int PEERS = 3;

  /** Age from which the list of instances to ask is old, in milliseconds. */
  private static final long PEERS_MILLIS = 5_000;

  private record Heard(Member member, long sinceMillis, long lastMillis) {}

  private static final Comparator<Heard> LARGEST_FIRST =
      Comparator.comparingLong((Heard h) -> h.member().capacity())
          .reversed()
          .thenComparingLong(Heard::sinceMillis);

  private final DispatchContext context;
  private final Map<String, Heard> heard = new TreeMap<>();
  private List<Member> told = List.of();
  private long toldMillis;
  private List<InstanceInfo> peers = List.of();
  private long peersMillis = Long.MIN_VALUE / 2;
  private int nextPeer;

  /** When the larger instance was asked that has not answered yet; {@code NOT_ASKED}: none was. */
  private long askedMillis = NOT_ASKED;

  MemberTable(DispatchContext context) {
    this.context = context;
  }

  /** Notes what an instance says of itself to the owner. */
  void heard(Member m) {
    long now = context.nowMillis();
    heard.merge(
        m.info().id().value(),
        new Heard(m, now, now),
        (before, x) -> {
          boolean gap = !before.member().mayClaim() || now - before.lastMillis() > HEARD_MILLIS;
          return new Heard(m, gap ? now : before.sinceMillis(), now);
        });
    if (wantsPeers()) {
      knowPeers(peersFor(context.self()));
    }
  }

  /** Returns whether the list of instances to ask is short or old. */
  boolean wantsPeers() {
    return peers.size() < PEERS || context.nowMillis() - peersMillis > PEERS_MILLIS;
  }

  /** Notes which instances the owner names. */
  void told(MemberAnswer a) {
    told(a.larger());
    if (!a.peers().isEmpty()) {
      knowPeers(a.peers());
    }
  }

  private void told(List<Member> larger) {
    told = larger;
    toldMillis = context.nowMillis();
  }

  private void knowPeers(List<InstanceInfo> list) {
    peers = list;
    peersMillis = context.nowMillis();
  }

  /** Returns instances that another one can ask for the owner when it cannot read the store. */
  List<InstanceInfo> peersFor(InstanceInfo member) {
    List<InstanceInfo> all = new ArrayList<>();
    for (Heard h : heard.values()) {
      if (h.member().mayClaim() && !h.member().info().equals(member)) {
        all.add(h.member().info());
      }
    }
    if (!all.isEmpty()) {
      // Spreads the calls over all instances.
      Collections.rotate(all, member.hashCode() % all.size());
    }
    return List.copyOf(all.subList(0, Math.min(PEERS, all.size())));
  }

  /** Returns the instance to ask for the owner next, one after the other. */
  Optional<InstanceInfo> nextPeer() {
    return peers.isEmpty()
        ? Optional.empty()
        : Optional.of(peers.get(Math.floorMod(nextPeer++, peers.size())));
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
    told = told.stream().filter(m -> !m.info().equals(member)).toList();
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
  List<Member> largerThan(long capacity) {
    return present(capacity).limit(NAMED).map(Heard::member).toList();
  }

  private Stream<Heard> present(long capacity) {
    long now = context.nowMillis();
    return heard.values().stream()
        .filter(h -> h.member().mayClaim() && now - h.lastMillis() <= HEARD_MILLIS)
        .filter(h -> h.member().capacity() >= LARGER * capacity)
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
        .map(h -> h.member().info());
  }

  /** Returns a clearly larger instance that should claim before this one, as the owner told. */
  Optional<InstanceInfo> larger() {
    boolean known = context.nowMillis() - toldMillis <= TOLD_MILLIS;
    return told.stream().filter(m -> known).map(Member::info).findFirst();
  }
}
