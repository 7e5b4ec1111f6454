package dev.dandelionport.core.port;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.port.SharedStore.Page;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class PageReaderTest {

  private static Page page(boolean hasMore, long revision, String... keys) {
    return new Page(
        Stream.of(keys).map(k -> new Entry(k, new byte[0], 1, SharedStore.NO_LEASE)).toList(),
        hasMore,
        revision);
  }

  private static Page read(List<String> requests, Page... pages) {
    return PageReader.readAll(
            after -> {
              requests.add(after);
              return CompletableFuture.completedFuture(pages[requests.size() - 1]);
            })
        .join();
  }

  @Test
  void allPagesAreReadAtTheRevisionOfTheFirst() {
    List<String> requests = new ArrayList<>();
    Page p = read(requests, page(true, 5, "a", "b"), page(true, 6, "c"), page(false, 7));
    assertThat(p.entries()).extracting(Entry::key).containsExactly("a", "b", "c");
    assertThat(p.revision()).isEqualTo(5);
    assertThat(requests).containsExactly("", "b", "c");
  }

  // Guards against a list that is taken for complete although the store says that more follow: an
  // owner would replay a history without its end.
  @Test
  void emptyPageThatIsNotTheLastIsAnError() {
    assertThatThrownBy(() -> read(new ArrayList<>(), page(true, 5)))
        .hasRootCauseInstanceOf(StoreUnavailableException.class);
    assertThatThrownBy(() -> read(new ArrayList<>(), page(true, 5, "a"), page(true, 6)))
        .hasRootCauseInstanceOf(StoreUnavailableException.class);
  }
}
