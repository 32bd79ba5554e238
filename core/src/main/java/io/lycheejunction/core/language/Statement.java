package io.lycheejunction.core.language;

import io.lycheejunction.core.configuration.Change;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** One statement of the operators' language. */
public sealed interface Statement {

  /**
   * Asks for a table.
   *
   * @param subject the table
   * @param where the comparisons that a row must satisfy
   * @param order the order of the rows, if any
   * @param limit the largest number of rows, if any
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
   * Asks what became of a change.
   *
   * @param id the change's identifier
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
   * @param change the change
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

  /** What a {@code show} statement asks for. */
  enum Subject {
    /** The version in force and the state of its sources. */
    CONFIG,
    /** The database groups. */
    GROUPS,
    /** The services and their rules. */
    SERVICES,
    /** The targets. */
    TARGETS,
    /** The proxies. */
    PROXIES,
    /** The lag of each target. */
    LAG,
    /** The refusals of this proxy by service and result code. */
    REFUSED,
    /** The latest changes. */
    CHANGES,
    /** The service levels. */
    BURN
  }

  /**
   * The order of rows.
   *
   * @param column the column to order by
   * @param descending true to put the largest first
   */
  record Order(String column, boolean descending) {
    /** Rejects a null column. */
    public Order {
      Objects.requireNonNull(column, "column is null");
    }
  }

  /**
   * A condition on one column.
   *
   * @param column the column
   * @param operator how to compare
   * @param value what to compare with
   */
  record Comparison(String column, Operator operator, Cell value) {
    /** Rejects null components. */
    public Comparison {
      Objects.requireNonNull(column, "column is null");
      Objects.requireNonNull(operator, "operator is null");
      Objects.requireNonNull(value, "value is null");
    }
  }

  /** How two values are compared. */
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
     * Returns the symbol of the operator.
     *
     * @return the symbol
     */
    public String symbol() {
      return symbol;
    }

    /**
     * Returns whether the outcome of a comparison satisfies the operator.
     *
     * @param order negative, zero or positive, as the left side is less, equal or greater
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
