package io.lycheejunction.bench.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/** Collects the measured values of a bench's rounds and prints them as key=value lines. */
public final class Figures {

  /**
   * A measured value of one round.
   *
   * @param name the key in the output, which ends in the unit
   * @param value the value in that unit
   */
  public record Figure(String name, double value) {
    /** Rejects a null name. */
    public Figure {
      Objects.requireNonNull(name, "name is null");
    }

    String text() {
      return name + "=" + format(value);
    }
  }

  private final String bench;
  private final Map<String, Map<String, List<Double>>> values = new LinkedHashMap<>();

  /**
   * Creates an empty collection.
   *
   * @param bench the name of the bench, printed at the start of every line
   */
  public Figures(String bench) {
    this.bench = Objects.requireNonNull(bench, "bench is null");
  }

  /**
   * Records and prints the values of one round of a variant.
   *
   * @param variant the key=value pairs that identify the variant
   * @param round the number of the round, counted from 1
   * @param figures the values in the order of printing
   */
  public void add(String variant, int round, List<Figure> figures) {
    Map<String, List<Double>> series = values.computeIfAbsent(variant, v -> new LinkedHashMap<>());
    figures.forEach(f -> series.computeIfAbsent(f.name(), n -> new ArrayList<>()).add(f.value()));
    String text = figures.stream().map(Figure::text).collect(Collectors.joining(" "));
    System.out.println(bench + " " + variant + " round=" + round + " " + text);
  }

  /** Prints the minimum, median and maximum of each figure of each variant. */
  public void printSummary() {
    values.forEach(
        (variant, series) ->
            System.out.println(
                bench
                    + " summary "
                    + variant
                    + " "
                    + series.entrySet().stream()
                        .map(e -> formatSpread(e.getKey(), e.getValue()))
                        .collect(Collectors.joining(" "))));
  }

  /**
   * Returns the names of a variant's figures.
   *
   * @param variant the key=value pairs that identify the variant
   * @return the names, in the order in which they were first recorded
   */
  public List<String> names(String variant) {
    return List.copyOf(values.getOrDefault(variant, Map.of()).keySet());
  }

  /**
   * Returns the median of a figure over all rounds.
   *
   * @param variant the key=value pairs that identify the variant
   * @param name the name of the figure
   * @return the median, or NaN if the figure was not recorded
   */
  public double median(String variant, String name) {
    List<Double> series = values.getOrDefault(variant, Map.of()).getOrDefault(name, List.of());
    return series.isEmpty() ? Double.NaN : medianOf(series);
  }

  private static String formatSpread(String name, List<Double> series) {
    List<Double> sorted = series.stream().sorted().toList();
    return "%s_min=%s %s_median=%s %s_max=%s"
        .formatted(
            name,
            format(sorted.getFirst()),
            name,
            format(medianOf(series)),
            name,
            format(sorted.getLast()));
  }

  private static double medianOf(List<Double> series) {
    List<Double> sorted = series.stream().sorted().toList();
    int middle = sorted.size() / 2;
    return sorted.size() % 2 == 1
        ? sorted.get(middle)
        : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
  }

  private static String format(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
