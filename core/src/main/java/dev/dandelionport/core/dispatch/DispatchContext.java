package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.port.AdviceClient;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerClient;
import dev.dandelionport.core.port.RunnerClient;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.Timer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Dependencies shared by the components of an instance.
 *
 * @param self this instance
 * @param store the platform's store
 * @param runners the platform's runners
 * @param advice the platform's advice service
 * @param peers the other instances
 * @param storeSchema decodes runners and configuration from the store
 * @param time clocks
 * @param timer schedules delayed actions
 * @param currentSettings supplies the settings now in force
 * @param observer receives reported events with their named fields
 */
public record DispatchContext(
    InstanceInfo self,
    SharedStore store,
    RunnerClient runners,
    AdviceClient advice,
    PeerClient peers,
    StoreSchema storeSchema,
    TimeSource time,
    Timer timer,
    Supplier<DispatchSettings> currentSettings,
    BiConsumer<DispatchTopic, Map<String, Object>> observer) {

  /** Returns the settings now in force. */
  DispatchSettings settings() {
    return currentSettings.get();
  }

  /** Returns the monotonic clock in milliseconds. */
  long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos());
  }

  /** Runs {@code action} under a shard's lock after a delay. Must be called with the lock held. */
  void schedule(Shard shard, long delayMillis, Runnable action) {
    shard.runAfterUnlock(() -> timer.schedule(delayMillis, () -> shard.run(action)));
  }

  /** Reports an event; fields alternate between name and value. */
  void report(DispatchTopic topic, Object... fields) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i + 1 < fields.length; i += 2) {
      map.put(fields[i].toString(), fields[i + 1]);
    }
    observer.accept(topic, map);
  }
}
