package io.lycheejunction.core.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** A configuration change that an operator requests. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Change.CreateGroup.class, name = "create-group"),
  @JsonSubTypes.Type(value = Change.AlterGroup.class, name = "alter-group"),
  @JsonSubTypes.Type(value = Change.DropGroup.class, name = "drop-group"),
  @JsonSubTypes.Type(value = Change.CreateService.class, name = "create-service"),
  @JsonSubTypes.Type(value = Change.AlterService.class, name = "alter-service"),
  @JsonSubTypes.Type(value = Change.DropService.class, name = "drop-service"),
  @JsonSubTypes.Type(value = Change.DrainTarget.class, name = "drain-target")
})
public sealed interface Change {

  /**
   * Creates a group.
   *
   * @param name the name of the group
   * @param targets the group's instances
   * @param slots the maximum number of statements that one instance runs concurrently
   * @param connections the maximum number of open sessions on one instance
   */
  record CreateGroup(String name, List<TargetSpec> targets, int slots, int connections)
      implements Change {
    /** Rejects null components and copies the targets. */
    public CreateGroup {
      Objects.requireNonNull(name, "name is null");
      targets = List.copyOf(targets);
    }
  }

  /**
   * Alters a group; an empty component keeps the current value.
   *
   * @param name the name of the group
   * @param targets the complete list of instances after the change
   * @param slots the maximum number of statements that one instance runs concurrently
   * @param connections the maximum number of open sessions on one instance
   */
  record AlterGroup(
      String name,
      Optional<List<TargetSpec>> targets,
      Optional<Integer> slots,
      Optional<Integer> connections)
      implements Change {
    /** Rejects null components and copies the targets. */
    public AlterGroup {
      Objects.requireNonNull(name, "name is null");
      targets = targets.map(List::copyOf);
      Objects.requireNonNull(slots, "slots is null");
      Objects.requireNonNull(connections, "connections is null");
    }
  }

  /**
   * Drops a group that no service uses.
   *
   * @param name the name of the group
   */
  record DropGroup(String name) implements Change {
    /** Rejects a null name. */
    public DropGroup {
      Objects.requireNonNull(name, "name is null");
    }
  }

  /**
   * Creates a service; rules that are not set take their default values.
   *
   * @param name the name of the service
   * @param group the name of its group
   * @param rules the rules to set
   */
  record CreateService(String name, String group, ServiceRules rules) implements Change {
    /** Rejects null components. */
    public CreateService {
      Objects.requireNonNull(name, "name is null");
      Objects.requireNonNull(group, "group is null");
      Objects.requireNonNull(rules, "rules is null");
    }
  }

  /**
   * Alters the rules of a service; rules that are not set keep their current values.
   *
   * @param name the name of the service
   * @param rules the rules to set
   */
  record AlterService(String name, ServiceRules rules) implements Change {
    /** Rejects null components. */
    public AlterService {
      Objects.requireNonNull(name, "name is null");
      Objects.requireNonNull(rules, "rules is null");
    }
  }

  /**
   * Drops a service.
   *
   * @param name the name of the service
   */
  record DropService(String name) implements Change {
    /** Rejects a null name. */
    public DropService {
      Objects.requireNonNull(name, "name is null");
    }
  }

  /**
   * Drains a target or puts it back into service.
   *
   * @param target the name of the target
   * @param drained true to drain the target, false to put it back into service
   */
  record DrainTarget(String target, boolean drained) implements Change {
    /** Rejects a null target. */
    public DrainTarget {
      Objects.requireNonNull(target, "target is null");
    }
  }
}
