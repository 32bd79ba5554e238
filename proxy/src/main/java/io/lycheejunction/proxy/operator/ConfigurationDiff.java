package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.ServiceRules;
import io.lycheejunction.core.configuration.ServiceSpec;
import io.lycheejunction.core.language.Printer;
import java.util.Optional;
import java.util.TreeSet;

/** Describes the difference between two configurations as operator statements. */
final class ConfigurationDiff {
  private ConfigurationDiff() {}

  /**
   * Returns one line for each removed definition, with a minus sign, and each added one, with a
   * plus sign.
   */
  static String describe(Configuration before, Configuration after) {
    TreeSet<String> oldDefinitions = definitions(before);
    TreeSet<String> newDefinitions = definitions(after);
    StringBuilder text =
        new StringBuilder(
            "would change the configuration from version "
                + before.version()
                + " to "
                + after.version()
                + "\n");
    oldDefinitions.stream()
        .filter(line -> !newDefinitions.contains(line))
        .forEach(line -> text.append("- " + line + "\n"));
    newDefinitions.stream()
        .filter(line -> !oldDefinitions.contains(line))
        .forEach(line -> text.append("+ " + line + "\n"));
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
      group
          .drained()
          .forEach(target -> lines.add(Printer.print(new Change.DrainTarget(target, true))));
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
