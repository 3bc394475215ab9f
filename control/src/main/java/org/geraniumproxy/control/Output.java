package org.geraniumproxy.control;

import java.io.PrintStream;

/** Prints reports in the selected format. */
sealed interface Output {
    void show(Report report);

    /**
     * Human-readable text.
     *
     * @param out receives results
     * @param err receives findings, warnings and failures
     */
    record Text(PrintStream out, PrintStream err) implements Output {
        @Override
        public void show(Report report) {
            boolean isFailure = report instanceof Report.Failed
                    || report instanceof Report.Rejected
                    || report instanceof Report.Warning;
            (isFailure ? err : out).println(TextReports.of(report));
        }
    }

    /**
     * One JSON object per line for each report.
     *
     * @param out receives all reports
     */
    record Json(PrintStream out) implements Output {
        @Override
        public void show(Report report) {
            out.println(JsonReports.of(report));
        }
    }
}
