import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The store is down for some seconds and the entries of the instances lapse; one gateway process is
 * killed meanwhile and starts again. When the store is back, the entry of one replica is back
 * before those of the other instances.
 */
final class Lapse {
  private static final long DOWN_MS = 5_600;
  private static final long DEAF_MS = 6_500;

  private Lapse() {}

  static int run(Path root, Path folder, boolean trouble) throws IOException, InterruptedException {
    Site.Sheet sheet =
        new Site.Sheet(
            List.of("ikeja", "lekki", "apapa"), List.of(3, 1, 2), true, 1, 3, 21, 1_000);
    try (Site site = new Site(root, folder, sheet)) {
      Instance first = site.group.add("i-1", site.net + "4.1", "ikeja", 3, 20);
      Instance second = site.group.add("i-2", site.net + "4.2", "lekki", 3, 20);
      Instance third = site.group.add("i-3", site.net + "4.3", "apapa", 3, 20);
      first.registersAfterMs = 1_900;
      second.registersAfterMs = 1_900;
      third.registersAfterMs = 100;
      site.configure(7);
      site.startGateways();
      site.load(Site.PRIMARY, 2, 40, site::write);
      site.sleepMs(12_000);
      if (trouble) {
        site.store.setDown(true);
        site.sleepMs(1_000);
        Gateway restarted = site.gateways.get(3);
        restarted.kill();
        site.record.say("gateway " + restarted.vm + " was killed");
        site.sleepMs(1_000);
        restarted.start();
        site.sleepMs(1_000);
        third.deaf = true;
        site.record.say("instance i-3 receives nothing from now on");
        site.sleepMs(DOWN_MS - 3_000);
        site.store.setDown(false);
        site.sleepMs(DEAF_MS - (DOWN_MS - 3_000));
        third.deaf = false;
        site.record.say("instance i-3 receives again");
      }
      site.sleepMs(10_000);
      site.stopClients();
      return site.verdict();
    }
  }
}
