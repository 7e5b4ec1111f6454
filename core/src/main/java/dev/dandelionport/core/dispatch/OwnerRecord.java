package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.SharedStore.Entry;

/**
 * Value of the owner's key.
 *
 * @param instance name of the owner
 * @param region region it is in
 * @param failureDomain failure domain it is in
 * @param host IP address for peers
 * @param port port for peers
 */
record OwnerRecord(String instance, String region, String failureDomain, String host, int port) {

  /** The owner that a key names, with the revision that is its fencing token. */
  record Owner(InstanceInfo info, long revision, long lease) {}

  static byte[] encode(InstanceInfo i) {
    return JsonCodec.encode(
        new OwnerRecord(i.id().value(), i.region(), i.failureDomain(), i.host(), i.port()));
  }

  /** Decodes a key; fails with {@link IllegalArgumentException} if it is damaged. */
  static Owner decode(Entry e) {
    OwnerRecord r = JsonCodec.decode(e.value(), OwnerRecord.class);
    return new Owner(
        new InstanceInfo(
            new InstanceId(r.instance()), r.region(), r.failureDomain(), r.host(), r.port()),
        e.revision(),
        e.lease());
  }
}
