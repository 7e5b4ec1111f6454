package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.InstanceId;

/** Store keys of the shared control state; one watch on the prefix covers all of them. */
public final class ControlKeys {

  /** Prefix of all control keys. */
  public static final String PREFIX = "/dandelionport/control/";

  /** The manifest, as JSON. */
  public static final String MANIFEST = PREFIX + "manifest";

  /** The assignment table, as JSON. */
  public static final String ASSIGNMENT = PREFIX + "assignment";

  /** Prefix of the members' keys, each attached to its instance's lease. */
  public static final String MEMBERS = PREFIX + "members/";

  /** Prefix of the regions' permit tables, as JSON. */
  public static final String PERMITS = PREFIX + "permits/";

  private ControlKeys() {}

  /** Returns the key of a member. */
  public static String member(InstanceId id) {
    return MEMBERS + id;
  }

  /** Returns the key of a region's permit table. */
  public static String permits(String region) {
    return PERMITS + region;
  }
}
