package org.geraniumproxy.control;

import java.io.PrintStream;

/** Shows reports in the format that the operator chose. */
sealed interface Output {
    void show(Report report);

    /**
     * Text for people.
     *
     * @param out takes results
     * @param err takes failures
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
     * One JSON object on a line for each report.
     *
     * @param out takes all reports
     */
    record Json(PrintStream out) implements Output {
        @Override
        public void show(Report report) {
            out.println(JsonReports.of(report));
        }
    }
}
