package org.geraniumproxy.measure.stop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.time.Duration;
import org.geraniumproxy.measure.process.PortAllocator;
import org.junit.jupiter.api.Test;

/** Guards against requests that a node takes after SIGTERM and leaves without an answer when its process ends. */
class StopSoak_run_Test {
    private static final Path FOLDER = Path.of("target", "stop-soak").toAbsolutePath();
    private static final Duration LENGTH = Duration.ofSeconds(20);
    private static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final int NODES = 4;

    @Test
    void should_answer_sessions_that_connect_while_the_listener_closes() throws Exception {
        // given nodes that have no session until a client connects 2.14 to 2.2 s after SIGTERM
        StopRun run = run(1, LoadProfile.oneOperation());

        // when
        StopResult result = run.play();

        // then
        assertThat(result.run().stops().size(), is(greaterThanOrEqualTo(5)));
        assertThat(result.lines().getFirst(), result.findings(), is(empty()));
    }

    @Test
    void should_answer_sessions_that_stay() throws Exception {
        // given sessions that send statements of 0.2 to 2.5 s until their node ends them
        StopRun run = run(2, LoadProfile.staying());

        // when
        StopResult result = run.play();

        // then
        assertThat(result.run().stops().size(), is(greaterThanOrEqualTo(4)));
        assertThat(result.lines().getFirst(), result.findings(), is(empty()));
    }

    private static StopRun run(long seed, LoadProfile profile) {
        FaultSchedule schedule = FaultSchedule.series(NODES, LENGTH, INTERVAL);
        return new StopRun(seed, profile, schedule, NODES, FOLDER.resolve("test-" + seed), new PortAllocator());
    }
}
