package dev.dandelionport.core.port;

import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.port.SharedStore.Page;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Reads a list of a {@link SharedStore} page by page, until no further entries follow. */
final class PageReader {

  private final Function<String, CompletableFuture<Page>> list;
  private final List<Entry> entries = new ArrayList<>();

  private PageReader(Function<String, CompletableFuture<Page>> list) {
    this.list = list;
  }

  /**
   * Returns all entries with the revision of the first page; fails if a page does not get further.
   *
   * @param list reads the page after a key, the first one after the empty key
   */
  static CompletableFuture<Page> readAll(Function<String, CompletableFuture<Page>> list) {
    PageReader reader = new PageReader(list);
    return list.apply("").thenCompose(first -> reader.continueAfter(first, first.revision()));
  }

  private CompletableFuture<Page> continueAfter(Page page, long revision) {
    String lastKey = entries.isEmpty() ? "" : lastKey(entries);
    entries.addAll(page.entries());
    if (!page.hasMore()) {
      return CompletableFuture.completedFuture(new Page(entries, false, revision));
    }
    if (entries.isEmpty() || lastKey(entries).equals(lastKey)) {
      throw new StoreUnavailableException(
          "the store sent a page without entries, but more follow", null);
    }
    return list.apply(lastKey(entries)).thenCompose(next -> continueAfter(next, revision));
  }

  private static String lastKey(List<Entry> entries) {
    return entries.get(entries.size() - 1).key();
  }
}
