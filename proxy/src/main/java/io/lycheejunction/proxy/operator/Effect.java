package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.ServiceRules;
import io.lycheejunction.core.configuration.ServiceSpec;
import io.lycheejunction.core.language.Printer;
import java.util.Optional;
import java.util.TreeSet;

/** Describes the difference between two configurations as statements. */
final class Effect {
  private Effect() {}

  /** Returns the removed definitions with a minus sign and the added ones with a plus sign. */
  static String describe(Configuration before, Configuration after) {
    TreeSet<String> old = definitions(before);
    TreeSet<String> fresh = definitions(after);
    StringBuilder text =
        new StringBuilder(
            "would lead from version " + before.version() + " to " + after.version() + "\n");
    old.stream().filter(d -> !fresh.contains(d)).forEach(d -> text.append("- " + d + "\n"));
    fresh.stream().filter(d -> !old.contains(d)).forEach(d -> text.append("+ " + d + "\n"));
    return text.toString();
  }

  private static TreeSet<String> definitions(Configuration configuration) {
    TreeSet<String> lines = new TreeSet<>();
    for (GroupSpec group : configuration.groups().values()) {
      lines.add(
          Printer.print(
              new Change.CreateGroup(
                  group.name(),
                  group.targets(),
                  group.slotsPerTarget(),
                  group.connectionsPerTarget())));
      group.drained().forEach(t -> lines.add(Printer.print(new Change.DrainTarget(t, true))));
    }
    for (ServiceSpec service : configuration.services().values()) {
      lines.add(
          Printer.print(new Change.CreateService(service.name(), service.group(), rules(service))));
    }
    return lines;
  }

  private static ServiceRules rules(ServiceSpec service) {
    return new ServiceRules(
        Optional.of(service.durability()),
        Optional.of(service.maxAgeMs()),
        Optional.of(service.cutOffReads()),
        Optional.of(service.weight()));
  }
}
