package org.geraniumproxy.measure.report;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.List;
import java.util.Locale;
import org.geraniumproxy.measure.figures.PartReport;
import org.geraniumproxy.measure.figures.PolicyMetrics;

/** Output format of a report. */
public enum ReportFormat {
    /** Human-readable lines. */
    TEXT,
    /** One JSON object. */
    JSON;

    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();

    private record Document(String deployment, long seed, List<PartReport> parts) {}

    /**
     * Formats the reports of a run.
     *
     * @param deployment name of the deployment
     * @param seed seed of the run
     * @param parts the reports, in output order
     * @return the text, ending with a line break
     */
    public String write(String deployment, long seed, List<PartReport> parts) {
        return switch (this) {
            case JSON -> GSON.toJson(new Document(deployment, seed, parts)) + "\n";
            case TEXT -> writeText(deployment, seed, parts);
        };
    }

    private static String writeText(String deployment, long seed, List<PartReport> parts) {
        StringBuilder text = new StringBuilder("deployment %s, seed %d\n".formatted(deployment, seed));
        for (PartReport part : parts) {
            text.append(part.part()).append('\n');
            for (PolicyMetrics policy : part.policies()) {
                text.append("  ").append(policy.policy()).append(policy.baseline() ? " (baseline)\n" : "\n");
                policy.figures()
                        .forEach((name, value) ->
                                text.append(String.format(Locale.ROOT, "    %-32s %12.3f%n", name, value)));
            }
            part.findings()
                    .forEach(finding ->
                            text.append("  finding: ").append(finding).append('\n'));
        }
        return text.toString();
    }
}
