package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.ServiceSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.language.Cell;
import io.lycheejunction.core.language.Statement.Subject;
import io.lycheejunction.core.language.Table;
import io.lycheejunction.core.membership.Member;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.routing.HolderChoice;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.configuration.AcceptedChange;
import io.lycheejunction.proxy.configuration.AppliedLog;
import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.configuration.PoisonedRow;
import io.lycheejunction.proxy.membership.Membership;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.OptionalLong;

/** The tables of {@code show} statements about configuration, membership and groups. */
final class ControlTables {
  private final ConfigurationLog log;
  private final Membership membership;
  private final GroupMonitor groups;
  private final RuntimeClock clock;

  ControlTables(
      ConfigurationLog log, Membership membership, GroupMonitor groups, RuntimeClock clock) {
    this.log = Objects.requireNonNull(log, "log is null");
    this.membership = Objects.requireNonNull(membership, "membership is null");
    this.groups = Objects.requireNonNull(groups, "groups is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
  }

  void addTo(ShowTables tables) {
    tables.add(Subject.CONFIG, this::config);
    tables.add(Subject.GROUPS, this::groups);
    tables.add(Subject.SERVICES, this::services);
    tables.add(Subject.TARGETS, this::targets);
    tables.add(Subject.PROXIES, this::proxies);
    tables.add(Subject.LAG, this::lag);
    tables.add(Subject.CHANGES, this::changes);
  }

  private Configuration configuration() {
    return log.applied().current();
  }

  private Table config() {
    AppliedLog applied = log.applied();
    List<Cell> row =
        List.of(
            Cell.text(membership.self().name()),
            Cell.count(applied.current().version()),
            Cell.count(applied.current().groups().size()),
            Cell.count(applied.current().services().size()),
            Cell.text(log.isStoreUp() ? "up" : "down"),
            Cell.text(log.isAnswered() ? "yes" : "no"),
            applied
                .poisonedRow()
                .map(poisoned -> Cell.count(poisoned.version()))
                .orElse(Cell.unknown()),
            applied.poisonedRow().map(PoisonedRow::reason).map(Cell::text).orElse(Cell.unknown()));
    return new Table(
        List.of(
            "proxy",
            "version",
            "groups",
            "services",
            "store",
            "answered",
            "poisoned_version",
            "poisoned_reason"),
        List.of(row));
  }

  private List<GroupSpec> sortedGroups() {
    return configuration().groups().values().stream()
        .sorted(Comparator.comparing(GroupSpec::name))
        .toList();
  }

  private Table groups() {
    List<List<Cell>> rows = new ArrayList<>();
    for (GroupSpec group : sortedGroups()) {
      GroupView view = groups.view(group.name());
      rows.add(
          List.of(
              Cell.text(group.name()),
              Cell.count(view.term()),
              view.primary().map(Cell::text).orElse(Cell.unknown()),
              Cell.text(position(view.confirmed())),
              Cell.count(group.targets().size()),
              Cell.count(group.slotsPerTarget()),
              Cell.count(group.connectionsPerTarget())));
    }
    return new Table(
        List.of("group", "term", "primary", "confirmed", "targets", "slots", "connections"), rows);
  }

  private static String position(LogPosition position) {
    return position.term() + "/" + position.offset();
  }

  private Table services() {
    List<List<Cell>> rows = new ArrayList<>();
    configuration().services().values().stream()
        .sorted(Comparator.comparing(ServiceSpec::name))
        .forEach(
            service ->
                rows.add(
                    List.of(
                        Cell.text(service.name()),
                        Cell.text(service.group()),
                        Cell.text(lowerCase(service.durability())),
                        Cell.duration(service.maxAgeMs()),
                        Cell.text(lowerCase(service.cutOffReads())),
                        Cell.count(service.weight()))));
    return new Table(
        List.of("service", "group", "durability", "max_age", "cut_off_reads", "weight"), rows);
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  private Table targets() {
    List<Vm> live = membership.live();
    List<List<Cell>> rows = new ArrayList<>();
    for (GroupSpec group : sortedGroups()) {
      for (TargetSpec target : group.targets()) {
        rows.add(
            List.of(
                Cell.text(target.name()),
                Cell.text(group.name()),
                Cell.text(target.failureDomain()),
                Cell.text(target.address()),
                Cell.text(role(group, target)),
                Cell.text(state(group, target)),
                HolderChoice.holderOf(target, live)
                    .map(vm -> Cell.text(vm.name()))
                    .orElse(Cell.unknown())));
      }
    }
    return new Table(
        List.of("target", "group", "domain", "address", "role", "state", "holder"), rows);
  }

  private String role(GroupSpec group, TargetSpec target) {
    return groups
        .view(group.name())
        .primary()
        .map(name -> name.equals(target.name()) ? "primary" : "replica")
        .orElse("unknown");
  }

  private String state(GroupSpec group, TargetSpec target) {
    if (group.drained().contains(target.name())) {
      return "drained";
    }
    return membership.isLeaving(target.name()) ? "leaving" : "in-service";
  }

  private Table proxies() {
    List<String> live = membership.live().stream().map(Vm::name).toList();
    List<List<Cell>> rows = new ArrayList<>();
    Vm self = membership.self();
    rows.add(
        List.of(
            Cell.text(self.name()),
            Cell.text(self.failureDomain()),
            Cell.text(self.address()),
            Cell.text(self.leaving() ? "leaving" : "live"),
            Cell.count(configuration().version()),
            Cell.duration(0)));
    for (Member member : membership.members().values()) {
      boolean isLive = live.contains(member.vm().name());
      rows.add(
          List.of(
              Cell.text(member.vm().name()),
              Cell.text(member.vm().failureDomain()),
              Cell.text(member.vm().address()),
              Cell.text(member.vm().leaving() ? "leaving" : isLive ? "live" : "silent"),
              Cell.count(member.version()),
              member.heardAtMs() == Member.NEVER_MS
                  ? Cell.unknown()
                  : Cell.duration(clock.monotonicMs() - member.heardAtMs())));
    }
    rows.sort(Comparator.comparing(row -> row.getFirst().show()));
    return new Table(List.of("proxy", "domain", "address", "state", "version", "heard_ago"), rows);
  }

  private Table lag() {
    List<List<Cell>> rows = new ArrayList<>();
    for (GroupSpec group : sortedGroups()) {
      LogPosition confirmed = groups.view(group.name()).confirmed();
      for (TargetSpec target : group.targets()) {
        LogPosition applied = groups.lastAppliedPosition(group.name(), target.name());
        OptionalLong ageMs = groups.maxDataAgeMs(group.name(), applied);
        boolean sameTerm = applied.term() == confirmed.term();
        rows.add(
            List.of(
                Cell.text(target.name()),
                Cell.text(group.name()),
                Cell.text(role(group, target)),
                Cell.text(position(applied)),
                sameTerm
                    ? Cell.count(Math.max(0, confirmed.offset() - applied.offset()))
                    : Cell.unknown(),
                ageMs.isPresent() ? Cell.duration(ageMs.getAsLong()) : Cell.unknown()));
      }
    }
    return new Table(List.of("target", "group", "role", "applied", "behind", "lag"), rows);
  }

  private Table changes() {
    List<List<Cell>> rows = new ArrayList<>();
    for (AcceptedChange change : log.applied().changes().reversed()) {
      rows.add(
          List.of(
              Cell.count(change.version()),
              Cell.text(change.id()),
              Cell.duration(Math.max(0, clock.wallMs() - change.acceptedAtMs())),
              Cell.text(change.statement())));
    }
    return new Table(List.of("version", "change", "ago", "statement"), rows);
  }
}
