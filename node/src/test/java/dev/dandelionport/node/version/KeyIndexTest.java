package dev.dandelionport.node.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class KeyIndexTest {

  private static final String SALT = "0011223344556677";

  /** Guards against a key that is accepted for another team. */
  @Test
  void everyKeyResolvesOnlyToItsOwner() {
    List<KeyIndex.Entry> entries = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      entries.add(new KeyIndex.Entry("team-" + i, "k" + i, SALT, KeyIndex.hash(SALT, "s" + i)));
    }
    KeyIndex index = new KeyIndex(entries);
    for (int i = 0; i < 100; i++) {
      assertThat(index.owner("k" + i + ".s" + i)).contains("team-" + i);
      assertThat(index.owner("k" + i + ".s" + (i + 1))).isEmpty();
    }
    assertThat(index.owner("")).isEmpty();
    assertThat(index.owner(".")).isEmpty();
    assertThat(index.owner("k1")).isEmpty();
    assertThat(index.owner("k1." + "s".repeat(10_000))).isEmpty();
  }
}
