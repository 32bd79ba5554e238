import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * One replica receives nothing for a while, and the primary crashes meanwhile; the other replica,
 * which has the acknowledged commits, crashes with it. Both come back with their logs.
 */
final class TwoLost {
  private static final long DEAF_MS = 6_500;
  private static final long DOWN_MS = 12_000;

  private TwoLost() {}

  static int run(Path root, Path folder, boolean trouble) throws IOException, InterruptedException {
    Site.Sheet sheet =
        new Site.Sheet(
            List.of("ikeja", "lekki", "apapa"), List.of(3, 1, 2), true, 1, 3, 21, 1_000);
    try (Site site = new Site(root, folder, sheet)) {
      Instance first = site.group.add("i-1", site.net + "4.1", "ikeja", 3, 20);
      Instance second = site.group.add("i-2", site.net + "4.2", "lekki", 3, 20);
      Instance third = site.group.add("i-3", site.net + "4.3", "apapa", 3, 20);
      site.configure(7);
      site.startGateways();
      site.load(Site.PRIMARY, 2, 40, site::write);
      site.sleepMs(8_000);
      if (trouble) {
        third.deaf = true;
        site.record.say("instance i-3 receives nothing from now on");
        site.sleepMs(3_000);
        first.crash();
        second.crash();
        site.sleepMs(DEAF_MS - 3_000);
        third.deaf = false;
        site.record.say("instance i-3 receives again");
        site.sleepMs(DOWN_MS - DEAF_MS + 3_000);
        first.start();
        second.start();
      }
      site.sleepMs(8_000);
      site.stopClients();
      return site.verdict();
    }
  }
}
