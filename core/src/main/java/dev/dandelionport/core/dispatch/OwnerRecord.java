package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.SharedStore.Entry;

/**
 * Value of the owner key.
 *
 * @param instance id of the owner
 * @param region region of the owner
 * @param failureDomain failure domain of the owner
 * @param host IP address for peers
 * @param port port for peers
 */
record OwnerRecord(String instance, String region, String failureDomain, String host, int port) {

  /** Decoded owner key; its revision is the owner's fencing token. */
  record Owner(InstanceInfo info, long revision, long lease) {}

  static byte[] encode(InstanceInfo i) {
    return JsonCodec.encode(
        new OwnerRecord(i.id().value(), i.region(), i.failureDomain(), i.host(), i.port()));
  }

  /** Decodes the owner key; throws {@link IllegalArgumentException} if the value is malformed. */
  static Owner decode(Entry e) {
    OwnerRecord r = JsonCodec.decode(e.value(), OwnerRecord.class);
    return new Owner(
        new InstanceInfo(
            new InstanceId(r.instance()), r.region(), r.failureDomain(), r.host(), r.port()),
        e.revision(),
        e.lease());
  }
}
