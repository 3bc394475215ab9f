package org.geraniumproxy.measure.report;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.measure.figures.PartReport;
import org.geraniumproxy.measure.figures.PolicyMetrics;
import org.junit.jupiter.api.Test;

/** Guards against reports that omit a policy, its metrics or a finding. */
final class ReportFormat_write_Test {
    private static final List<PartReport> PARTS = List.of(new PartReport(
            "failover",
            List.of(new PolicyMetrics("fixed", true, Map.of("gap-worst-millis", 2100.0))),
            List.of("target missed")));

    @Test
    void should_write_json_that_parses() {
        // when
        JsonObject document = JsonParser.parseString(ReportFormat.JSON.write("weed", 7, PARTS))
                .getAsJsonObject();
        // then
        JsonObject part = document.getAsJsonArray("parts").get(0).getAsJsonObject();
        JsonObject policy = part.getAsJsonArray("policies").get(0).getAsJsonObject();
        assertThat(document.get("seed").getAsLong(), is(7L));
        assertThat(policy.getAsJsonObject("figures").get("gap-worst-millis").getAsDouble(), is(2100.0));
        assertThat(part.getAsJsonArray("findings").get(0).getAsString(), is("target missed"));
    }

    @Test
    void should_write_text_with_baselines_and_findings() {
        String text = ReportFormat.TEXT.write("weed", 7, PARTS);
        assertThat(text, containsString("fixed (baseline)"));
        assertThat(text, containsString("2100.000"));
        assertThat(text, containsString("finding: target missed"));
    }
}
