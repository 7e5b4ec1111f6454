package dev.dandelionport.core.common;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Unmodifiable copies with a fixed iteration order. The iteration order of {@code Map.copyOf} and
 * {@code Set.copyOf} differs between processes, so that a simulation with a fixed seed would not be
 * reproducible.
 */
public final class SortedCopies {

  private SortedCopies() {}

  /** Returns a copy of {@code m} in the order of its keys. */
  public static <K extends Comparable<? super K>, V> Map<K, V> of(Map<K, V> m) {
    return Collections.unmodifiableMap(new TreeMap<>(m));
  }

  /** Returns a copy of {@code c} without duplicates, in ascending order. */
  public static <T extends Comparable<? super T>> Set<T> of(Collection<T> c) {
    return Collections.unmodifiableSet(new TreeSet<>(c));
  }
}
