package dev.dandelionport.core.dispatch;

import java.util.Locale;

/** Keys of the workflow data in the store. */
public final class StoreKeys {

  /** Prefix of all keys. */
  public static final String PREFIX = "dandelionport/";

  /** Key of the owner of the workflows; attached to the owner's lease. */
  public static final String OWNER = PREFIX + "owner";

  /** Prefix of journal batches and snapshots. */
  public static final String HISTORY = PREFIX + "history/";

  /** Key that refers to the newest complete snapshot. */
  public static final String SNAPSHOT_HEAD = HISTORY + "head";

  private static final String JOURNAL = HISTORY + "journal/";
  private static final String SNAPSHOT = HISTORY + "snapshot/";

  private StoreKeys() {}

  /** Returns the key of a journal batch. */
  static String batch(long number) {
    return JOURNAL + zeroPadded(number);
  }

  /** Returns the key of a part of the snapshot that replaces all batches up to {@code number}. */
  static String snapshotPart(long number, int part) {
    return SNAPSHOT + zeroPadded(number) + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  static boolean isBatch(String key) {
    return key.startsWith(JOURNAL);
  }

  static boolean isSnapshotPart(String key) {
    return key.startsWith(SNAPSHOT);
  }

  /** Returns the batch number in the key of a batch or of a snapshot part. */
  static long number(String key) {
    String rest = key.substring((isBatch(key) ? JOURNAL : SNAPSHOT).length());
    int slash = rest.indexOf('/');
    return Long.parseLong(slash < 0 ? rest : rest.substring(0, slash));
  }

  private static String zeroPadded(long number) {
    return String.format(Locale.ROOT, "%015d", number);
  }
}
