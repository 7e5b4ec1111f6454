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
  private static final long MEMBER_TIMEOUT_MILLIS = 1_000;

  /**
   * Time for which what the owner said counts, in milliseconds; an owner that lost its power is
   * replaced after 1 to 2 s.
   */
  private static final long CANDIDATES_MAX_AGE_MILLIS = 3_000;

  /** Contact without a gap after which the owner hands over to an instance, in milliseconds. */
  private static final long STABLE_CONTACT_MILLIS = 3_000;

  /** Ratio of capacities from which an instance is clearly larger than another. */
  private static final double MIN_CAPACITY_RATIO = 1.5;

  /** Most instances that the owner names in an answer. */
  private static final int MAX_CANDIDATES = 2;

  /**
   * Longest wait for an answer of a larger instance before a claim, in milliseconds; it may be
   * paused or cut off.
   */
  private static final long PROBE_TIMEOUT_MILLIS = 100;

  private static final long NO_PROBE = Long.MIN_VALUE;

  /** Most instances that one knows which it can ask for the owner. */
  private static final int MAX_PEERS = 3;

  /** Age from which the list of instances to ask is old, in milliseconds. */
  private static final long PEERS_MAX_AGE_MILLIS = 5_000;

  private record MemberContact(Member member, long sinceMillis, long lastMillis) {}

  private static final Comparator<MemberContact> LARGEST_FIRST =
      Comparator.comparingLong((MemberContact h) -> h.member().capacity())
          .reversed()
          .thenComparingLong(MemberContact::sinceMillis);

  private final DispatchContext context;
  private final Map<String, MemberContact> contacts = new TreeMap<>();
  private List<Member> candidates = List.of();
  private long candidatesMillis;
  private List<InstanceInfo> peers = List.of();
  private long peersMillis = Long.MIN_VALUE / 2;
  private int nextPeer;

  /** When the larger instance was asked that has not answered yet; {@code NOT_ASKED}: none was. */
  private long probeSentMillis = NO_PROBE;

  MemberTable(DispatchContext context) {
    this.context = context;
  }

  /** Notes what an instance says of itself to the owner. */
  void recordMember(Member m) {
    long now = context.nowMillis();
    contacts.merge(
        m.info().id().value(),
        new MemberContact(m, now, now),
        (before, x) -> {
          boolean gap =
              !before.member().mayClaim() || now - before.lastMillis() > MEMBER_TIMEOUT_MILLIS;
          return new MemberContact(m, gap ? now : before.sinceMillis(), now);
        });
    if (wantsPeers()) {
      setPeers(peersFor(context.self()));
    }
  }

  /** Returns whether the list of instances to ask is short or old. */
  boolean wantsPeers() {
    return peers.size() < MAX_PEERS || context.nowMillis() - peersMillis > PEERS_MAX_AGE_MILLIS;
  }

  /** Notes which instances the owner names. */
  void setCandidates(MemberAnswer a) {
    setCandidates(a.larger());
    if (!a.peers().isEmpty()) {
      setPeers(a.peers());
    }
  }

  private void setCandidates(List<Member> larger) {
    candidates = larger;
    candidatesMillis = context.nowMillis();
  }

  private void setPeers(List<InstanceInfo> list) {
    peers = list;
    peersMillis = context.nowMillis();
  }

  /** Returns instances that another one can ask for the owner when it cannot read the store. */
  List<InstanceInfo> peersFor(InstanceInfo member) {
    List<InstanceInfo> all = new ArrayList<>();
    for (MemberContact h : contacts.values()) {
      if (h.member().mayClaim() && !h.member().info().equals(member)) {
        all.add(h.member().info());
      }
    }
    if (!all.isEmpty()) {
      // Spreads the calls over all instances.
      Collections.rotate(all, member.hashCode() % all.size());
    }
    return List.copyOf(all.subList(0, Math.min(MAX_PEERS, all.size())));
  }

  /** Returns the instance to ask for the owner next, one after the other. */
  Optional<InstanceInfo> nextPeer() {
    return peers.isEmpty()
        ? Optional.empty()
        : Optional.of(peers.get(Math.floorMod(nextPeer++, peers.size())));
  }

  /** Returns whether the larger instance was asked whether it is there, and has not answered. */
  boolean isProbePending() {
    return probeSentMillis != NO_PROBE;
  }

  /** Notes that the larger instance is asked whether it is there. */
  void probeSent() {
    probeSentMillis = context.nowMillis();
  }

  /** Notes that the larger instance has answered. */
  void probeAnswered() {
    probeSentMillis = NO_PROBE;
  }

  /** Returns how long the larger instance may still take to answer, in milliseconds. */
  long probeTimeoutMillis() {
    long waited = probeSentMillis == NO_PROBE ? 0 : context.nowMillis() - probeSentMillis;
    return Math.max(1, PROBE_TIMEOUT_MILLIS - waited);
  }

  /** Notes that an instance cannot claim the workflows now. */
  void removeCandidate(InstanceInfo member) {
    probeSentMillis = NO_PROBE;
    candidates = candidates.stream().filter(m -> !m.info().equals(member)).toList();
  }

  /** Forgets what was heard as the owner, but for the instances that should claim first. */
  void ownerChanged() {
    if (!contacts.isEmpty()) {
      setCandidates(largerThan(context.settings().ownerCapacity()));
      contacts.clear();
    }
  }

  /**
   * Returns the largest instances that may claim and are clearly larger than one of {@code
   * capacity}, the largest first.
   */
  List<Member> largerThan(long capacity) {
    return reachableLargerThan(capacity).limit(MAX_CANDIDATES).map(MemberContact::member).toList();
  }

  private Stream<MemberContact> reachableLargerThan(long capacity) {
    long now = context.nowMillis();
    return contacts.values().stream()
        .filter(h -> h.member().mayClaim() && now - h.lastMillis() <= MEMBER_TIMEOUT_MILLIS)
        .filter(h -> h.member().capacity() >= MIN_CAPACITY_RATIO * capacity)
        .sorted(LARGEST_FIRST);
  }

  /**
   * Returns the instance to which the owner should hand over: the largest one, once it has been in
   * contact for a while. Empty until then, so that the workflows move once, and if it is not
   * clearly larger.
   */
  Optional<InstanceInfo> successor() {
    long now = context.nowMillis();
    contacts.values().removeIf(h -> now - h.lastMillis() > MEMBER_TIMEOUT_MILLIS);
    return reachableLargerThan(context.settings().ownerCapacity())
        .findFirst()
        .filter(h -> now - h.sinceMillis() >= STABLE_CONTACT_MILLIS)
        .map(h -> h.member().info());
  }

  /** Returns a clearly larger instance that should claim before this one, as the owner told. */
  Optional<InstanceInfo> preferredClaimant() {
    boolean known = context.nowMillis() - candidatesMillis <= CANDIDATES_MAX_AGE_MILLIS;
    return candidates.stream().filter(m -> known).map(Member::info).findFirst();
  }
}
