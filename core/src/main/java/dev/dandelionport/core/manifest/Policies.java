package dev.dandelionport.core.manifest;

import dev.dandelionport.core.common.WorkloadClass;

/**
 * The policy of each workload class.
 *
 * @param urgent policy of urgent requests
 * @param deferrable policy of deferrable work
 * @param service policy of long-running services
 * @param gang policy of gangs
 */
public record Policies(
    ClassPolicy urgent, ClassPolicy deferrable, ClassPolicy service, ClassPolicy gang) {

  /** The policies that apply if a manifest specifies none. */
  public static final Policies DEFAULT =
      new Policies(
          new ClassPolicy(Placement.SPREAD, Preemption.CHECKPOINT, 5, 1_000, DrainMode.FINISH, 20),
          new ClassPolicy(Placement.PACK, Preemption.NONE, 0, 20_000, DrainMode.CHECKPOINT, 20),
          new ClassPolicy(Placement.SPREAD, Preemption.NONE, 0, 5_000, DrainMode.CHECKPOINT, 50),
          new ClassPolicy(Placement.PACK, Preemption.NONE, 0, 1_000, DrainMode.CHECKPOINT, 20));

  /** Replaces missing policies with the default ones. */
  public Policies {
    urgent = urgent == null ? DEFAULT.urgent : urgent;
    deferrable = deferrable == null ? DEFAULT.deferrable : deferrable;
    service = service == null ? DEFAULT.service : service;
    gang = gang == null ? DEFAULT.gang : gang;
  }

  /** Returns the policy of a workload class. */
  public ClassPolicy of(WorkloadClass c) {
    return switch (c) {
      case URGENT -> urgent;
      case DEFERRABLE -> deferrable;
      case SERVICE -> service;
      case GANG -> gang;
    };
  }
}
