import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Runs one case: its name, the folder of the project and the folder of the case. The exit status is
 * 1 if the rule was broken, 0 if it held and 2 if the case could not run.
 */
public final class Main {
  private static final int CANNOT_RUN = 2;
  private static final long LIMIT_S = 110;

  private Main() {}

  /** Runs the case. */
  public static void main(String[] args) {
    Path root = Path.of(args[1]).toAbsolutePath();
    Path folder = Path.of(args[2]).toAbsolutePath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Thread.ofPlatform().daemon().start(Main::endLate);
    int status;
    try {
      status =
          switch (args[0]) {
            case "lapse" -> Lapse.run(root, folder, trouble);
            case "shapes" -> Shapes.run(root, folder, trouble);
            case "two-lost" -> TwoLost.run(root, folder, trouble);
            default -> throw new Site.CannotRun("no case " + args[0]);
          };
    } catch (Site.CannotRun | IOException | InterruptedException e) {
      System.out.println("cannot run: " + e);
      status = CANNOT_RUN;
    }
    System.exit(status);
  }

  private static void endLate() {
    try {
      TimeUnit.SECONDS.sleep(LIMIT_S);
    } catch (InterruptedException e) {
      return;
    }
    System.out.println("cannot run: not finished after " + LIMIT_S + " s");
    System.exit(CANNOT_RUN);
  }
}
