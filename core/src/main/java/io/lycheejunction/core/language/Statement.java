package io.lycheejunction.core.language;

import io.lycheejunction.core.configuration.Change;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** A statement of the operator language. */
public sealed interface Statement {

  /**
   * Shows a table.
   *
   * @param subject the table to show
   * @param where the conditions that a row must satisfy, all of them
   * @param order the order of the rows, if any
   * @param limit the maximum number of rows, if any
   */
  record Show(
      Subject subject, List<Comparison> where, Optional<Order> order, Optional<Integer> limit)
      implements Statement {
    /** Rejects null components and copies the comparisons. */
    public Show {
      Objects.requireNonNull(subject, "subject is null");
      where = List.copyOf(where);
      Objects.requireNonNull(order, "order is null");
      Objects.requireNonNull(limit, "limit is null");
    }
  }

  /**
   * Shows the outcome of a configuration change.
   *
   * @param id the identifier of the change
   */
  record ShowChange(String id) implements Statement {
    /** Rejects a null identifier. */
    public ShowChange {
      Objects.requireNonNull(id, "id is null");
    }
  }

  /**
   * Changes the configuration.
   *
   * @param change the change to apply
   */
  record Submit(Change change) implements Statement {
    /** Rejects a null change. */
    public Submit {
      Objects.requireNonNull(change, "change is null");
    }
  }

  /**
   * Shuts a proxy down gracefully.
   *
   * @param proxy the name of its entry VM
   */
  record Shutdown(String proxy) implements Statement {
    /** Rejects a null name. */
    public Shutdown {
      Objects.requireNonNull(proxy, "proxy is null");
    }
  }

  /**
   * Promotes a target to the primary of its group.
   *
   * @param target the name of the target
   */
  record Promote(String target) implements Statement {
    /** Rejects a null name. */
    public Promote {
      Objects.requireNonNull(target, "target is null");
    }
  }

  /** The tables that a {@code show} statement can show. */
  enum Subject {
    /** The configuration version in force and the state of its sources. */
    CONFIG,
    /** The database groups. */
    GROUPS,
    /** The services and their rules. */
    SERVICES,
    /** The targets of all groups. */
    TARGETS,
    /** The proxies that this proxy knows. */
    PROXIES,
    /** The replication lag of each target. */
    LAG,
    /** The refusals of this proxy by service and result code. */
    REFUSED,
    /** The latest configuration changes. */
    CHANGES,
    /** The burn rates of the service-level objectives. */
    BURN
  }

  /**
   * The sort order of rows.
   *
   * @param column the column to sort by
   * @param descending true to put the largest value first
   */
  record Order(String column, boolean descending) {
    /** Rejects a null column. */
    public Order {
      Objects.requireNonNull(column, "column is null");
    }
  }

  /**
   * A condition on the value of one column.
   *
   * @param column the column
   * @param operator the comparison operator
   * @param value the value to compare with
   */
  record Comparison(String column, Operator operator, Cell value) {
    /** Rejects null components. */
    public Comparison {
      Objects.requireNonNull(column, "column is null");
      Objects.requireNonNull(operator, "operator is null");
      Objects.requireNonNull(value, "value is null");
    }
  }

  /** A comparison operator. */
  enum Operator {
    /** Equal. */
    EQUAL("="),
    /** Not equal. */
    NOT_EQUAL("!="),
    /** At most. */
    AT_MOST("<="),
    /** At least. */
    AT_LEAST(">="),
    /** Less. */
    LESS("<"),
    /** Greater. */
    GREATER(">");

    private final String symbol;

    Operator(String symbol) {
      this.symbol = symbol;
    }

    /**
     * Returns the symbol of the operator in the operator language.
     *
     * @return the symbol
     */
    public String symbol() {
      return symbol;
    }

    /**
     * Returns whether the result of a comparison satisfies the operator.
     *
     * @param order negative, zero or positive if the left side is less, equal or greater
     * @return true if it is satisfied
     */
    boolean accepts(int order) {
      return switch (this) {
        case EQUAL -> order == 0;
        case NOT_EQUAL -> order != 0;
        case AT_MOST -> order <= 0;
        case AT_LEAST -> order >= 0;
        case LESS -> order < 0;
        case GREATER -> order > 0;
      };
    }
  }
}
