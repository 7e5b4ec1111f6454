package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.workflow.ClusterPolicy;
import dev.dandelionport.core.workflow.RunnerDescription;
import java.util.Optional;

/** Knows where the platform keeps runners and configuration in its store, and decodes them. */
public interface StoreSchema {

  /** Returns the prefix of the runners' entries. */
  String runnerPrefix();

  /** Returns the prefix of what operators write. */
  String operatorPrefix();

  /** Decodes a runner's entry; empty if it names no runner to use. */
  Optional<RunnerDescription> decodeRunner(Entry entry);

  /** Decodes an entry as the configuration; empty if it is another one or cannot be read. */
  Optional<ClusterPolicy> decodePolicy(Entry entry);

  /** Returns the failure domain that an entry takes out of service; empty if it is another one. */
  Optional<String> decodeClosedDomain(Entry entry);
}
