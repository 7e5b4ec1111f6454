package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.VirtualTime;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixWatchTest {

  private static final long WAIT_MILLIS = 1_000;

  private final VirtualTime time = new VirtualTime(1);
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final FakeProcess process = new FakeProcess(time);
  private final DispatchContext context = StoreContext.of(store.client("i", process::run), process);
  private final Shard shard = StoreContext.shard();

  // Guards against a copy that counts as complete although the store has cut off the changes: a
  // key that was withdrawn would stay in use for longer than allowed if the next answer is lost.
  @Test
  void cutOffChangesDoNotConfirmTheCopy() {
    List<String> confirmed = new ArrayList<>();
    PrefixWatch[] watch = new PrefixWatch[1];
    watch[0] =
        new PrefixWatch(
            context,
            shard,
            "op/",
            WAIT_MILLIS,
            () -> confirmed.add(newest(watch[0]) + " at " + watch[0].confirmedMillis()));
    shard.run(watch[0]::start);
    time.runFor(300);
    store.refusedCallers.add("i");
    time.runFor(2_000);
    for (int i = 1; i <= 7; i++) {
      store.put("op/config", Integer.toString(i));
    }
    final long beforeMillis = watch[0].confirmedMillis();
    confirmed.clear();
    store.refusedCallers.clear();
    time.runFor(400);
    assertThat(confirmed).hasSize(3);
    assertThat(confirmed.get(0)).isEqualTo("3 at " + beforeMillis);
    assertThat(confirmed.get(1)).isEqualTo("6 at " + beforeMillis);
    assertThat(confirmed.get(2)).startsWith("7 at ").isNotEqualTo("7 at " + beforeMillis);
  }

  private static String newest(PrefixWatch w) {
    return w.entries().stream()
        .map(Entry::value)
        .map(v -> new String(v, StandardCharsets.UTF_8))
        .findFirst()
        .orElse("");
  }
}
