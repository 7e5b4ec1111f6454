package dev.dandelionport.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads keys from files. Keys are never passed as arguments, which other users can list. */
final class KeyFiles {

  private KeyFiles() {}

  /** Returns the content of a key file. */
  static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new CommandException(ExitStatus.USAGE, "cannot read the key file " + file + ": " + e);
    }
  }

  /** Returns the keys in a file with one key per line; blank lines are skipped. */
  static List<String> lines(String file) {
    List<String> keys = read(file).lines().map(String::trim).filter(l -> !l.isEmpty()).toList();
    if (keys.isEmpty()) {
      throw new CommandException(ExitStatus.USAGE, "the key file " + file + " has no key");
    }
    return keys;
  }
}
