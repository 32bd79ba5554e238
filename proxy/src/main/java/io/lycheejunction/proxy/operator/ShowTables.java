package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.language.Statement.Subject;
import io.lycheejunction.core.language.Table;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** The tables of {@code show} statements. */
public final class ShowTables {
  private final Map<Subject, Supplier<Table>> sources = new ConcurrentHashMap<>();

  /**
   * Adds the source of a table.
   *
   * @param subject the table's name in the operator language
   * @param source supplies the table
   */
  public void add(Subject subject, Supplier<Table> source) {
    sources.put(subject, Objects.requireNonNull(source, "source is null"));
  }

  /**
   * Returns the current content of a table.
   *
   * @param subject the table's name in the operator language
   * @return the table, or empty if no source was added for it
   */
  Optional<Table> find(Subject subject) {
    return Optional.ofNullable(sources.get(subject)).map(Supplier::get);
  }
}
