package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.Team;
import dev.dandelionport.core.permit.PermitTable;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.SwapResult;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Caches the regions' permit tables and writes this instance's changes to them. A region with one
 * partition has no table, because the partition gets each team's full limit. Guarded by the
 * instance's shard.
 */
final class PermitManager {

  /**
   * A reserved or sent move of permits; the donor's bound stays lowered until the outcome is known.
   */
  private record Move(TeamId team, PartitionId from, PartitionId to, int count, long revision) {}

  private final EngineContext context;
  private final Shard shard;
  private final Runnable onChanged;
  private final Map<String, ControlStateDecoder.PermitEntry> entries = new HashMap<>();
  private final Map<String, Move> moves = new HashMap<>();
  private final Set<String> sentMoves = new HashSet<>();
  private long lastWriteNanos;
  private final Map<String, Long> writesInFlight = new HashMap<>();

  PermitManager(EngineContext context, Shard shard, Runnable onChanged) {
    this.context = context;
    this.shard = shard;
    this.onChanged = onChanged;
    this.lastWriteNanos = context.time().monotonicNanos();
  }

  /** Applies the permit tables from a store read that was sent at {@code sentNanos}. */
  void onControlStateRead(Map<String, ControlStateDecoder.PermitEntry> tables, long sentNanos) {
    // A read that may predate this instance's own write is ignored.
    tables.forEach(
        (region, e) -> {
          if (!isWriting(region) && sentNanos - lastWriteNanos >= 0) {
            updateEntry(region, e);
          }
        });
  }

  private void updateEntry(String region, ControlStateDecoder.PermitEntry e) {
    if (e.equals(entries.put(region, e))) {
      return;
    }
    Move m = moves.get(region);
    if (m != null && e.revision() != m.revision()) {
      // The table has changed since the move was reserved, so the move has taken effect or can no
      // longer do so.
      moves.remove(region);
      sentMoves.remove(region);
    }
    shard.runAfterUnlock(onChanged);
  }

  /**
   * Returns how many tasks of each team a partition may run; empty until this owner's epoch is
   * recorded in the region's table.
   */
  Optional<Map<TeamId, Integer>> bounds(PartitionId p, long epoch, Manifest m) {
    Map<TeamId, Integer> bounds = new HashMap<>();
    boolean single = m.partitionsOf(p.region()).size() == 1;
    ControlStateDecoder.PermitEntry e = entries.get(p.region());
    if (!single && (e == null || e.table().epoch(p) != epoch)) {
      return Optional.empty();
    }
    for (Team t : m.teams()) {
      TeamId id = new TeamId(t.id());
      if (single) {
        bounds.put(id, t.homeRegion().equals(p.region()) ? t.limit() : 0);
      } else {
        bounds.put(id, Math.max(0, e.table().maxRunning(id, p, m) - reservedCount(id, p)));
      }
    }
    return Optional.of(bounds);
  }

  private int reservedCount(TeamId team, PartitionId p) {
    Move m = moves.get(p.region());
    return m != null && m.team().equals(team) && m.from().equals(p) ? m.count() : 0;
  }

  /**
   * Writes the region's table with the manifest's version and the owner's epoch if the stored ones
   * are older.
   */
  void updateTable(PartitionId p, long epoch, Manifest m) {
    if (m.partitionsOf(p.region()).size() == 1 || moves.containsKey(p.region())) {
      return;
    }
    ControlStateDecoder.PermitEntry entry = entries.get(p.region());
    if (entry == null) {
      write(
          p.region(),
          KeyValueStore.ABSENT,
          PermitTable.initial(m, p.region()).withOwnerEpoch(p, epoch),
          null);
    } else if (entry.table().epoch(p) < epoch || entry.table().manifestVersion() < m.version()) {
      change(p.region(), entry, t -> t.adopt(m, p.region()).withOwnerEpoch(p, epoch));
    }
  }

  private void change(
      String region, ControlStateDecoder.PermitEntry e, UnaryOperator<PermitTable> change) {
    write(region, e.revision(), change.apply(e.table()), null);
  }

  /**
   * Reserves a move, which lowers the donor's bound. Returns false if another change of the
   * region's table is in flight or the donor has too few permits; otherwise the caller must send or
   * cancel the move.
   */
  boolean reserveMove(TeamId team, PartitionId from, PartitionId to, int count) {
    String region = from.region();
    ControlStateDecoder.PermitEntry e = entries.get(region);
    if (e == null
        || moves.containsKey(region)
        || isWriting(region)
        || count <= 0
        || e.table().count(team, from) < count) {
      return false;
    }
    moves.put(region, new Move(team, from, to, count, e.revision()));
    return true;
  }

  /**
   * Writes the reserved move of a region; the donor must already have applied its lowered bound.
   */
  void sendMove(String region) {
    Move m = moves.get(region);
    ControlStateDecoder.PermitEntry e = entries.get(region);
    if (m != null && !isWriting(region) && e.revision() == m.revision()) {
      sentMoves.add(region);
      PermitTable next = e.table().move(m.team(), m.from(), m.to(), m.count());
      write(region, e.revision(), next, m);
    }
  }

  /** Cancels a region's reserved move unless it was sent. */
  void cancelMove(String region) {
    if (!sentMoves.contains(region)) {
      moves.remove(region);
    }
    shard.runAfterUnlock(onChanged);
  }

  /**
   * Resends the moves whose outcome is unknown; at most one write takes effect, because all expect
   * the same revision.
   */
  void retryMoves() {
    List.copyOf(sentMoves).forEach(this::sendMove);
  }

  private boolean isWriting(String region) {
    return writesInFlight.containsKey(region);
  }

  private void write(String region, long revision, PermitTable next, Move move) {
    if (isWriting(region)) {
      return;
    }
    writesInFlight.put(region, revision);
    shard.runAfterUnlock(
        () ->
            context
                .store()
                .compareAndSwap(
                    ControlKeys.permits(region),
                    revision,
                    JsonCodec.encode(next),
                    KeyValueStore.NO_LEASE)
                .whenComplete((r, e) -> shard.run(() -> onTableWritten(region, next, move, r, e))));
  }

  private void onTableWritten(
      String region, PermitTable written, Move move, SwapResult result, Throwable error) {
    writesInFlight.remove(region);
    lastWriteNanos = context.time().monotonicNanos();
    if (error != null) {
      return;
    }
    if (result.swapped()) {
      updateEntry(region, new ControlStateDecoder.PermitEntry(written, result.revision()));
      if (move != null) {
        shard.runAfterUnlock(
            () ->
                context
                    .observer()
                    .accept(
                        new EngineEvent.PermitsMoved(
                            move.team(), move.from(), move.to(), move.count())));
      }
    } else {
      result.current().ifPresent(c -> updateFromStore(region, c));
    }
  }

  private void updateFromStore(String region, StoreEntry c) {
    try {
      PermitTable t = JsonCodec.decode(c.value(), PermitTable.class);
      updateEntry(region, new ControlStateDecoder.PermitEntry(t, c.revision()));
    } catch (IllegalArgumentException e) {
      String message = c.key() + " at revision " + c.revision();
      shard.runAfterUnlock(
          () ->
              context
                  .observer()
                  .accept(
                      new EngineEvent.AlertRaised(AlertCode.CONTROL_VALUE_UNREADABLE, message)));
    }
  }
}
