package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.io.BaseEncoding;
import dev.dandelionport.node.version.KeyIndex;
import java.security.SecureRandom;
import java.util.concurrent.Callable;

/** Commands that generate keys. */
abstract class KeyCommand implements Callable<Integer> {

  private static final SecureRandom RANDOM = new SecureRandom();

  static String randomHex(int bytes) {
    byte[] b = new byte[bytes];
    RANDOM.nextBytes(b);
    return BaseEncoding.base16().lowerCase().encode(b);
  }

  /** Returns the manifest or settings entry of a key: its id, a new salt and the salted hash. */
  static ObjectNode keyEntry(String id, String secret) {
    String salt = randomHex(16);
    return ApiClient.JSON
        .createObjectNode()
        .put("id", id)
        .put("salt", salt)
        .put("hash", KeyIndex.hash(salt, secret));
  }

  /** Generates a key for a team or an operator. */
  @Command(
      name = "new",
      description =
          "Makes a key: prints the key to hand out and the entry for the manifest or the settings")
  public static final class New extends KeyCommand {
    @Option(name = "--id", description = "Public part of the key, in [a-z0-9-]")
    @Required
    private String id;

    @Option(name = "--json", description = "Prints JSON")
    private boolean json;

    @Override
    public Integer call() {
      if (!id.matches("[a-z0-9-]{1,63}")) {
        throw new CommandException(
            ExitStatus.USAGE, "--id must be 1 to 63 characters of [a-z0-9-]");
      }
      String secret = randomHex(24);
      ObjectNode entry = keyEntry(id, secret);
      String key = id + "." + secret;
      if (json) {
        ObjectNode n = ApiClient.JSON.createObjectNode().put("key", key);
        System.out.println(n.set("entry", entry).toString());
      } else {
        System.out.println("key:   " + key);
        System.out.println("entry: " + entry);
      }
      return ExitStatus.DONE;
    }
  }

  /** Generates the token key of an open queue. */
  @Command(name = "token", description = "Makes the tokenKey of an open queue")
  public static final class Token extends KeyCommand {
    @Override
    public Integer call() {
      System.out.println(randomHex(32));
      return ExitStatus.DONE;
    }
  }
}
