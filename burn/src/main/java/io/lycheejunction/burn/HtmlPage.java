package io.lycheejunction.burn;

import io.lycheejunction.core.burn.ObjectiveBurn;
import io.lycheejunction.core.burn.ObjectiveBurn.PairBurn;
import io.lycheejunction.core.burn.ObjectiveBurn.Status;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Formats the report as a self-contained HTML page with embedded images. */
final class HtmlPage {
  private static final long MINUTE_S = 60;
  private static final String STYLE =
      """
      body{font:18px/1.45 sans-serif;color:#111;background:#fff;max-width:1040px;margin:24px auto;
      padding:0 16px}
      h1{font-size:30px;padding:14px 18px;border-left:14px solid;margin:0 0 12px}
      h2{font-size:23px;margin:34px 0 8px}
      table{border-collapse:collapse;width:100%}
      th,td{text-align:left;padding:5px 10px;border-bottom:1px solid #767676 !important}
      td.n,th.n{text-align:right}
      img{width:100%;border:1px solid #767676;margin-top:10px}
      .now{border-color:#a40000;color:#a40000;font-weight:bold}
      .unknown{border-color:#6a3d00;color:#6a3d00;font-weight:bold}
      .soon{border-color:#0b3d91;color:#0b3d91;font-weight:bold}
      .fine{border-color:#14532d;color:#14532d}
      """;

  private HtmlPage() {}

  static String of(Report report) {
    StringBuilder page = new StringBuilder();
    page.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
        .append("<title>Burn report</title><style>")
        .append(STYLE)
        .append("</style></head><body>")
        .append("<h1 class=\"" + lowerCaseName(mostUrgentStatus(report)) + "\">")
        .append(escape(report.headline()) + "</h1>")
        .append("<p>Counts up to " + Instant.ofEpochSecond(report.endMinute() * MINUTE_S))
        .append(". " + escape(report.gapsLine()) + ".</p>")
        .append("<p>A burn of 1 spends the budget of 30 days in exactly 30 days. A pair of windows")
        .append(" alerts (!) when both are above 14.4, 6 or 1. Budgets are of the minutes that")
        .append(" have counts.</p>");
    burnsByService(report).forEach((service, burns) -> appendService(page, report, service, burns));
    appendRefusals(page, report);
    return page.append("</body></html>\n").toString();
  }

  private static Status mostUrgentStatus(Report report) {
    return report.burns().isEmpty() ? Status.UNKNOWN : report.burns().getFirst().status();
  }

  private static Map<String, List<ObjectiveBurn>> burnsByService(Report report) {
    Map<String, List<ObjectiveBurn>> services = new LinkedHashMap<>();
    for (ObjectiveBurn burn : report.burns()) {
      services.computeIfAbsent(burn.service(), name -> new ArrayList<>()).add(burn);
    }
    return services;
  }

  private static void appendService(
      StringBuilder page, Report report, String service, List<ObjectiveBurn> burns) {
    Status status = burns.getFirst().status();
    page.append("<h2>" + escape(service) + ": ")
        .append(
            "<span class=\"" + lowerCaseName(status) + "\">" + statusLabel(status) + "</span></h2>")
        .append("<table><tr><th>objective</th><th>status</th><th class=\"n\">5 m / 1 h</th>")
        .append("<th class=\"n\">30 m / 6 h</th><th class=\"n\">6 h / 3 d</th>")
        .append("<th class=\"n\">budget left, 30 d</th></tr>");
    for (ObjectiveBurn burn : burns) {
      page.append("<tr><td>" + lowerCaseName(burn.objective()) + " ")
          .append(percent(burn.objective().target()) + "</td>")
          .append(
              "<td class=\""
                  + lowerCaseName(burn.status())
                  + "\">"
                  + statusLabel(burn.status())
                  + "</td>");
      burn.pairs().forEach(pair -> appendPair(page, pair));
      page.append("<td class=\"n\">" + burn.budgetLeft() + "</td></tr>");
    }
    page.append("</table><img alt=\"Burn over the last 24 hours\" src=\"data:image/png;base64,")
        .append(BurnChart.png(report.history(), service, report.endMinute()))
        .append("\">");
  }

  private static void appendPair(StringBuilder page, PairBurn pair) {
    page.append("<td class=\"n" + (pair.isAlert() ? " now" : "") + "\">")
        .append(TextPage.formatPair(pair) + "</td>");
  }

  private static void appendRefusals(StringBuilder page, Report report) {
    page.append("<h2>Worst refusals of the last 6 hours</h2>");
    if (report.refusals().isEmpty()) {
      page.append("<p>None counted.</p>");
      return;
    }
    page.append("<table><tr><th>service</th><th>code</th><th>name</th>")
        .append("<th class=\"n\">count</th></tr>");
    for (Report.Refusal refusal : report.refusals()) {
      page.append("<tr><td>" + escape(refusal.service()) + "</td>")
          .append("<td>" + refusal.code() + "</td><td>" + refusal.name() + "</td>")
          .append("<td class=\"n\">" + refusal.count() + "</td></tr>");
    }
    page.append("</table>");
  }

  private static String statusLabel(Status status) {
    return switch (status) {
      case NOW -> "needed now";
      case UNKNOWN -> "not known";
      case SOON -> "in working hours";
      case FINE -> "fine";
    };
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.2f%%", 100 * share);
  }

  private static String lowerCaseName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
  }
}
