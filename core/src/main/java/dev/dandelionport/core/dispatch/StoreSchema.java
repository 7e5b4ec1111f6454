package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.workflow.ClusterPolicy;
import dev.dandelionport.core.workflow.RunnerDescription;
import java.util.Optional;

/** Key layout and encoding of the platform's runner and configuration entries in the store. */
public interface StoreSchema {

  /** Returns the key prefix of runner entries. */
  String runnerPrefix();

  /** Returns the key prefix of entries that operators write. */
  String operatorPrefix();

  /** Decodes a runner entry; empty if it does not describe a usable runner. */
  Optional<RunnerDescription> decodeRunner(Entry entry);

  /**
   * Decodes a configuration entry; empty for any other entry and for one that cannot be decoded.
   */
  Optional<ClusterPolicy> decodePolicy(Entry entry);

  /** Returns the failure domain that an entry takes out of service; empty for any other entry. */
  Optional<String> decodeClosedDomain(Entry entry);
}
