package org.geraniumproxy.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.junit.jupiter.api.Test;

/** Guards against a rejection reason that the operators' guide does not explain. */
class Operators_guide_Test {
    @Test
    void should_explain_every_rejection_reason() throws IOException {
        String guide = Files.readString(Path.of("..", "docs", "operators.md"));
        for (NotRunReason reason : NotRunReason.values()) {
            assertThat(guide, containsString("| `" + reason + "` |"));
        }
    }
}
