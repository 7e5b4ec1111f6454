package dev.dandelionport.core.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of workers, which reflects changes with a delay. */
public interface InstanceList {
  /** Returns the workers of a region. */
  CompletableFuture<List<WorkerInfo>> workers(String region);
}
