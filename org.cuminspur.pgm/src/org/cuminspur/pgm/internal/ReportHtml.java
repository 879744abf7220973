package org.cuminspur.pgm.internal;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.cuminspur.slo.BurnReport;
import org.cuminspur.slo.BurnRow;

/** Writes a fleet's burn report as one HTML page that needs nothing else; stateless and thread-safe. */
public final class ReportHtml {
    private static final int BAR_PX = 14;
    private static final int WIDTH_PX = 420;
    private static final int LABEL_PX = 90;
    private static final String STYLE =
            "body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:right}td:first-child{text-align:left}"
                    + "svg{display:block;margin:4px 0 16px}text{font-size:11px}.alarm{color:#b00}";

    private ReportHtml() {}

    /** Returns the page. */
    public static String of(FleetReport report) {
        Stream<BurnRow> rows = Stream.concat(report.sum().serviceRows().stream(), report.rows().stream());
        String plots = report.sum().serviceRows().stream()
                .map(row -> plots(row, report.sum().latencies().get(row.service())))
                .collect(Collectors.joining("\n"));
        return "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Burn report</title><style>"
                + STYLE
                + "</style></head><body><h1>Burn report</h1><p>" + escape(report.coverage()) + "</p>"
                + "<table><tr><th>service</th><th>account</th><th>objective</th><th>budget left</th>" + windowHeads()
                + "<th>alarm</th></tr>" + rows.map(ReportHtml::row).collect(Collectors.joining("\n")) + "</table>"
                + plots + "</body></html>\n";
    }

    /** Returns text with the characters that mean something in HTML replaced. */
    public static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;")
                .replace("'", "&#39;");
    }

    private static String windowHeads() {
        return FleetReport.WINDOWS.stream()
                .map(window -> "<th>burn " + window + "</th>")
                .collect(Collectors.joining());
    }

    private static String row(BurnRow row) {
        String burns = FleetReport.WINDOWS.stream()
                .map(window -> cell(String.format(Locale.ROOT, "%.2f", row.burnRate(window))))
                .collect(Collectors.joining());
        return "<tr>" + cell(row.service().value()) + cell(row.account().value())
                + cell(String.format(Locale.ROOT, "%.2f%%", row.targetShare() * 100))
                + cell(String.format(Locale.ROOT, "%.0f%%", row.budgetLeft() * 100)) + burns
                + "<td class=\"alarm\">" + escape(FleetReport.alarms(row)) + "</td></tr>";
    }

    private static String cell(String text) {
        return "<td>" + escape(text) + "</td>";
    }

    private static String plots(BurnRow row, BurnReport.Latency latency) {
        List<Double> burns = FleetReport.WINDOWS.stream().map(row::burnRate).toList();
        String text =
                "<h2>" + escape(row.service().value()) + "</h2><h3>Burn rate</h3>" + bars(FleetReport.WINDOWS, burns);
        return latency == null
                ? text
                : text
                        + times("Time to first token, ms", latency.firstToken())
                        + times("Time between tokens, ms", latency.betweenTokens());
    }

    private static String times(String title, Histogram histogram) {
        List<String> labels =
                FleetReport.PERCENTILES.stream().map(value -> "p" + value).toList();
        List<Double> values = FleetReport.percentiles(histogram).stream()
                .map(Long::doubleValue)
                .toList();
        return "<h3>" + title + "</h3>" + bars(labels, values);
    }

    private static String bars(List<String> labels, List<Double> values) {
        double max = values.stream().mapToDouble(value -> value).max().orElse(0);
        String bars = IntStream.range(0, labels.size())
                .mapToObj(i -> bar(i, labels.get(i), values.get(i), max))
                .collect(Collectors.joining());
        return "<svg width=\"" + (LABEL_PX + WIDTH_PX + LABEL_PX) + "\" height=\"" + labels.size() * (BAR_PX + 4)
                + "\">" + bars + "</svg>";
    }

    private static String bar(int position, String label, double value, double max) {
        int top = position * (BAR_PX + 4);
        long width = max == 0 ? 0 : Math.round(WIDTH_PX * Math.max(0, value) / max);
        return String.format(
                Locale.ROOT,
                "<text x=\"0\" y=\"%d\">%s</text><rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"#48a\"/>"
                        + "<text x=\"%d\" y=\"%d\">%.2f</text>",
                top + BAR_PX - 3,
                escape(label),
                LABEL_PX,
                top,
                width,
                BAR_PX,
                LABEL_PX + width + 4,
                top + BAR_PX - 3,
                value);
    }
}
