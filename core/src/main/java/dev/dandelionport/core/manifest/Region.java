package dev.dandelionport.core.manifest;

import dev.dandelionport.core.common.PartitionId;
import java.util.ArrayList;
import java.util.List;

/**
 * A region of the cell.
 *
 * @param id name
 * @param partitions number of partitions, fixed for the lifetime of the cell
 */
public record Region(String id, int partitions) {

  /** Returns the partitions of this region. */
  public List<PartitionId> partitionIds() {
    List<PartitionId> ids = new ArrayList<>();
    for (int i = 0; i < partitions; i++) {
      ids.add(new PartitionId(id, i));
    }
    return ids;
  }
}
