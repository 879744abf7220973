package org.cuminspur.pgm.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import org.cuminspur.slo.BurnReportCodec;
import org.cuminspur.slo.BurnRow;

/** Writes a fleet's burn report as JSON; stateless and thread-safe. */
public final class ReportJson {
    private ReportJson() {}

    /** Returns the report. */
    public static ObjectNode of(FleetReport report) {
        ObjectNode root = BurnReportCodec.encode(report.sum());
        root.put("answered", report.answered()).put("listed", report.listed());
        report.sum()
                .serviceRows()
                .forEach(row -> burns(row, root.withArray("/burns").addObject()));
        report.rows().forEach(row -> burns(row, root.withArray("/burns").addObject()));
        report.sum().latencies().forEach((service, latency) -> {
            ObjectNode node = root.withObject("/percentiles").putObject(service.value());
            times(latency.firstToken(), node.putObject("first_token_ms"));
            times(latency.betweenTokens(), node.putObject("between_tokens_ms"));
        });
        return root;
    }

    private static void burns(BurnRow row, ObjectNode node) {
        node.put("service", row.service().value())
                .put("account", row.account().value())
                .put("budget_left", row.budgetLeft())
                .put("alarm", FleetReport.alarms(row));
        FleetReport.WINDOWS.forEach(window -> node.withObject("/burn").put(window, row.burnRate(window)));
    }

    private static void times(Histogram histogram, ObjectNode node) {
        node.put("count", histogram.getTotalCount());
        FleetReport.PERCENTILES.forEach(
                percentile -> node.put("p" + percentile, histogram.getValueAtPercentile(percentile)));
    }
}
