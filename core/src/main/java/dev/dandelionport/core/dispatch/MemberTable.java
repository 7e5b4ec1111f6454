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
 * Instances that could own the workflows. The owner receives a heartbeat from every instance. In
 * its answer it sends the largest instances to those that are clearly smaller. Guarded by the
 * instance's shard.
 */
final class MemberTable {

  /** Time without a heartbeat after which an instance counts as absent, in milliseconds. */
  private static final long MEMBER_TIMEOUT_MILLIS = 1_000;

  /**
   * Time for which the candidates sent by the owner are valid, in milliseconds. An owner that loses
   * power is replaced after 1 to 2 s.
   */
  private static final long CANDIDATES_MAX_AGE_MILLIS = 3_000;

  /**
   * Time of uninterrupted heartbeats after which the owner may hand over to an instance, in
   * milliseconds.
   */
  private static final long STABLE_CONTACT_MILLIS = 3_000;

  /** Ratio of capacities from which an instance counts as clearly larger than another. */
  private static final double MIN_CAPACITY_RATIO = 1.5;

  /** Maximum number of larger instances in an answer of the owner. */
  private static final int MAX_CANDIDATES = 2;

  /**
   * Longest wait for an answer of a larger instance before a claim, in milliseconds; the larger
   * instance may be paused or disconnected.
   */
  private static final long PROBE_TIMEOUT_MILLIS = 100;

  private static final long NO_PROBE = Long.MIN_VALUE;

  /** Maximum number of peers that are queried for the current owner. */
  private static final int MAX_PEERS = 3;

  /** Age from which the list of peers is refreshed, in milliseconds. */
  private static final long PEERS_MAX_AGE_MILLIS = 5_000;

  private record MemberContact(Member member, long sinceMillis, long lastMillis) {}

  private static final Comparator<MemberContact> LARGEST_FIRST =
      Comparator.comparingLong((MemberContact contact) -> contact.member().capacity())
          .reversed()
          .thenComparingLong(MemberContact::sinceMillis);

  private final DispatchContext context;
  private final Map<String, MemberContact> contacts = new TreeMap<>();
  private List<Member> candidates = List.of();
  private long candidatesUpdatedMillis;
  private List<InstanceInfo> peers = List.of();
  private long peersUpdatedMillis = Long.MIN_VALUE / 2;
  private int nextPeer;

  /** Time of the unanswered probe of a larger instance; {@code NO_PROBE} if none is pending. */
  private long probeSentMillis = NO_PROBE;

  MemberTable(DispatchContext context) {
    this.context = context;
  }

  /** Records the state that an instance sends to the owner. */
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
    if (needsPeers()) {
      setPeers(peersFor(context.self()));
    }
  }

  /** Returns whether the list of peers is incomplete or outdated. */
  boolean needsPeers() {
    return peers.size() < MAX_PEERS
        || context.nowMillis() - peersUpdatedMillis > PEERS_MAX_AGE_MILLIS;
  }

  /** Caches the larger instances and the peers from an answer of the owner. */
  void setCandidates(MemberAnswer a) {
    setCandidates(a.larger());
    if (!a.peers().isEmpty()) {
      setPeers(a.peers());
    }
  }

  private void setCandidates(List<Member> members) {
    candidates = members;
    candidatesUpdatedMillis = context.nowMillis();
  }

  private void setPeers(List<InstanceInfo> list) {
    peers = list;
    peersUpdatedMillis = context.nowMillis();
  }

  /**
   * Returns instances that {@code member} can query for the current owner when it cannot read the
   * store.
   */
  List<InstanceInfo> peersFor(InstanceInfo member) {
    List<InstanceInfo> all = new ArrayList<>();
    for (MemberContact contact : contacts.values()) {
      if (contact.member().mayClaim() && !contact.member().info().equals(member)) {
        all.add(contact.member().info());
      }
    }
    if (!all.isEmpty()) {
      // Distributes the calls over all instances.
      Collections.rotate(all, member.hashCode() % all.size());
    }
    return List.copyOf(all.subList(0, Math.min(MAX_PEERS, all.size())));
  }

  /** Returns the next peer to query for the current owner, in rotation. */
  Optional<InstanceInfo> nextPeer() {
    return peers.isEmpty()
        ? Optional.empty()
        : Optional.of(peers.get(Math.floorMod(nextPeer++, peers.size())));
  }

  /** Returns whether a probe of the larger instance is unanswered. */
  boolean isProbePending() {
    return probeSentMillis != NO_PROBE;
  }

  /** Records that a probe of the larger instance is being sent. */
  void probeSent() {
    probeSentMillis = context.nowMillis();
  }

  /** Records that the larger instance has answered the probe. */
  void probeAnswered() {
    probeSentMillis = NO_PROBE;
  }

  /** Returns the remaining time for the larger instance to answer, in milliseconds. */
  long probeTimeoutMillis() {
    long waitedMillis = probeSentMillis == NO_PROBE ? 0 : context.nowMillis() - probeSentMillis;
    return Math.max(1, PROBE_TIMEOUT_MILLIS - waitedMillis);
  }

  /** Removes an instance that cannot claim the workflows now from the candidates. */
  void removeCandidate(InstanceInfo member) {
    probeSentMillis = NO_PROBE;
    candidates = candidates.stream().filter(m -> !m.info().equals(member)).toList();
  }

  /**
   * Discards the contacts collected as the owner, but keeps the larger instances, which should
   * claim first, as candidates.
   */
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
        .filter(
            contact ->
                contact.member().mayClaim() && now - contact.lastMillis() <= MEMBER_TIMEOUT_MILLIS)
        .filter(contact -> contact.member().capacity() >= MIN_CAPACITY_RATIO * capacity)
        .sorted(LARGEST_FIRST);
  }

  /**
   * Returns the instance to which the owner should hand over: the largest one, once it has been in
   * contact for a while. Empty until then, so that the workflows move only once, and if no instance
   * is clearly larger.
   */
  Optional<InstanceInfo> successor() {
    long now = context.nowMillis();
    contacts.values().removeIf(contact -> now - contact.lastMillis() > MEMBER_TIMEOUT_MILLIS);
    return reachableLargerThan(context.settings().ownerCapacity())
        .findFirst()
        .filter(contact -> now - contact.sinceMillis() >= STABLE_CONTACT_MILLIS)
        .map(contact -> contact.member().info());
  }

  /**
   * Returns the instance that should claim from an owner to which the store is unavailable,
   * whatever its capacity; the next largest one with each attempt, because the store may be
   * unavailable to some of them too.
   */
  Optional<InstanceInfo> substitute(int attempt) {
    List<MemberContact> reachable = reachableLargerThan(0).toList();
    return reachable.isEmpty()
        ? Optional.empty()
        : Optional.of(reachable.get(attempt % reachable.size()).member().info());
  }

  /**
   * Returns the clearly larger instance that should claim before this one, according to the latest
   * answer of the owner.
   */
  Optional<InstanceInfo> preferredClaimant() {
    boolean valid = context.nowMillis() - candidatesUpdatedMillis <= CANDIDATES_MAX_AGE_MILLIS;
    return candidates.stream().filter(m -> valid).map(Member::info).findFirst();
  }
}
