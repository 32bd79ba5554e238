package io.lycheejunction.burn;

import io.lycheejunction.core.burn.Burn;
import io.lycheejunction.core.burn.CountHistory;
import io.lycheejunction.core.burn.Objective;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.ValueAxis;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots the burn rates of a service over the last day; times without counts are gaps. */
final class BurnChart {
  private static final int DAY_MINUTES = 1_440;
  private static final int STEP_MINUTES = 10;
  private static final double MINUTES_PER_HOUR = 60;
  private static final double MIN_AXIS_TOP = 2;
  private static final int WIDTH_PX = 2_000;
  private static final int HEIGHT_PX = 520;
  private static final Font FONT = new Font(Font.SANS_SERIF, Font.PLAIN, 28);
  private static final List<Color> COLORS =
      List.of(new Color(0xa40000), new Color(0x0b3d91), new Color(0x14532d));
  private static final List<float[]> DASHES =
      List.of(new float[] {1, 0}, new float[] {18, 8}, new float[] {5, 7});

  private BurnChart() {}

  /** Returns the PNG image, encoded as base64. */
  static String png(CountHistory history, String service, long endMinute) {
    XYSeriesCollection dataset = new XYSeriesCollection();
    for (Objective objective : Objective.values()) {
      dataset.addSeries(series(history, service, objective, endMinute));
    }
    try {
      return Base64.getEncoder()
          .encodeToString(
              ChartUtils.encodeAsPNG(chart(dataset).createBufferedImage(WIDTH_PX, HEIGHT_PX)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static XYSeries series(
      CountHistory history, String service, Objective objective, long endMinute) {
    XYSeries series = new XYSeries(objective.name().toLowerCase(Locale.ROOT));
    for (int minutesAgo = DAY_MINUTES; minutesAgo >= 0; minutesAgo -= STEP_MINUTES) {
      Burn burn = history.burn(service, objective, endMinute - minutesAgo, STEP_MINUTES);
      Double rate = burn instanceof Burn.Known known ? Double.valueOf(known.rate()) : null;
      series.add(Double.valueOf(-minutesAgo / MINUTES_PER_HOUR), rate);
    }
    return series;
  }

  private static JFreeChart chart(XYSeriesCollection dataset) {
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            "", "hours before the report (gap: missing; black line: burn of 1)", "burn", dataset);
    chart.setTitle((String) null);
    chart.getLegend().setItemFont(FONT);
    XYPlot plot = chart.getXYPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setRangeGridlinePaint(Color.GRAY);
    plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
    styleAxis(plot.getDomainAxis());
    styleAxis(plot.getRangeAxis());
    plot.getDomainAxis().setRange(-DAY_MINUTES / MINUTES_PER_HOUR, 0);
    double axisTop = Math.max(MIN_AXIS_TOP, plot.getRangeAxis().getUpperBound());
    plot.getRangeAxis().setRange(0, axisTop);
    plot.addRangeMarker(new ValueMarker(1, Color.BLACK, new BasicStroke(3)));
    plot.setRenderer(renderer());
    return chart;
  }

  private static void styleAxis(ValueAxis axis) {
    axis.setLabelFont(FONT);
    axis.setTickLabelFont(FONT);
    axis.setTickLabelPaint(Color.BLACK);
  }

  private static XYLineAndShapeRenderer renderer() {
    XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
    for (int i = 0; i < COLORS.size(); i++) {
      renderer.setSeriesPaint(i, COLORS.get(i));
      renderer.setSeriesStroke(
          i, new BasicStroke(5, BasicStroke.CAP_BUTT, BasicStroke.JOIN_ROUND, 1, DASHES.get(i), 0));
    }
    return renderer;
  }
}
