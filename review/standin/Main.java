import java.io.IOException;
import java.nio.file.Path;

/** Runs one case: arguments are its name and its folder. Exits with 1 if the rule was broken. */
public final class Main {

  private static final int BROKEN = 1;
  private static final int COULD_NOT_RUN = 2;
  private static final long LIMIT_MILLIS = 115_000;

  /** A case; returns whether the rule held. */
  interface Case {
    boolean run(boolean trouble) throws IOException, InterruptedException;
  }

  private Main() {}

  public static void main(String[] args) {
    int status;
    try {
      status = run(args[0], Path.of(args[1]).toAbsolutePath());
    } catch (Throwable e) {
      // Also an error of the virtual machine must not look like a broken rule.
      System.out.println("the case could not run: " + e);
      e.printStackTrace();
      status = COULD_NOT_RUN;
    }
    Node.killAll();
    Runtime.getRuntime().halt(status);
  }

  private static int run(String name, Path folder) throws IOException, InterruptedException {
    Log.open(folder.resolve("record.txt"));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Runtime.getRuntime().addShutdownHook(new Thread(Node::killAll));
    Thread limit =
        new Thread(
            () -> {
              try {
                Thread.sleep(LIMIT_MILLIS);
              } catch (InterruptedException e) {
                return;
              }
              Log.say("the case took too long");
              Node.killAll();
              Runtime.getRuntime().halt(COULD_NOT_RUN);
            });
    limit.setDaemon(true);
    limit.start();
    Case c =
        switch (name) {
          case "large-batch" -> LargeBatch::run;
          case "many-ends" -> ManyEnds::run;
          case "lasting" -> Lasting::run;
          case "zone-loss" -> ZoneLoss::run;
          default -> throw new IllegalArgumentException(name);
        };
    boolean held = c.run(trouble);
    Log.say(held ? "the rule held" : "the rule was broken");
    return held ? 0 : BROKEN;
  }
}
