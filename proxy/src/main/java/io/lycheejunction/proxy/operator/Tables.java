package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.language.Statement.Subject;
import io.lycheejunction.core.language.Table;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** The tables that {@code show} statements can ask for. */
public final class Tables {
  private final Map<Subject, Supplier<Table>> sources = new ConcurrentHashMap<>();

  /**
   * Adds the source of a table.
   *
   * @param subject the table
   * @param source gives its rows
   */
  public void add(Subject subject, Supplier<Table> source) {
    sources.put(subject, Objects.requireNonNull(source, "source is null"));
  }

  /**
   * Returns a table.
   *
   * @param subject the table
   * @return the rows, or empty if no part of this proxy has them
   */
  Optional<Table> find(Subject subject) {
    return Optional.ofNullable(sources.get(subject)).map(Supplier::get);
  }
}
