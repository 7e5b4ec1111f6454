package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.workflow.WorkflowLimits;

/** Creates contexts for components that use the store and the clock only. */
final class StoreContext {

  private StoreContext() {}

  static DispatchContext of(SharedStore store, FakeProcess process) {
    return new DispatchContext(
        new InstanceInfo(new InstanceId("i"), "region", "fd", "127.0.0.1", 1),
        store,
        null,
        null,
        null,
        null,
        process,
        process,
        () ->
            new DispatchSettings(
                1_000, 5_000, 6_000, 3_500, new WorkflowLimits(1, 1, 1, 1, 1), 1_000),
        (t, f) -> {});
  }

  /** Returns a shard that fails the test with each error of an action. */
  static Shard shard() {
    return new Shard(
        e -> {
          throw e;
        });
  }
}
