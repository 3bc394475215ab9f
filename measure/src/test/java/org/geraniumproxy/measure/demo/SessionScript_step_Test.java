package org.geraniumproxy.measure.demo;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.geraniumproxy.measure.bench.Deployment;
import org.junit.jupiter.api.Test;

final class SessionScript_step_Test {
    private static final Deployment.RouteNames ROUTES = Deployment.festival().routeNames();

    /** Guards against two writes with the same text, which would hide a lost write or report a false second run. */
    @Test
    void should_never_repeat_the_text_of_a_write() {
        // given
        List<SessionScript> scripts =
                List.of(new SessionScript.Registrar(ROUTES, "a-0"), new SessionScript.Registrar(ROUTES, "a-1"));
        // when
        List<String> writes = scripts.stream()
                .flatMap(script -> LongStream.range(0, 600).mapToObj(script::step))
                .filter(step -> step.operation().isWrite())
                .flatMap(step -> step.operation().statements().stream())
                .toList();
        // then
        Set<String> distinct = new HashSet<>(writes);
        assertThat(writes, hasSize(distinct.size()));
    }

    /** Guards against readers that write. */
    @Test
    void should_only_read_as_a_reader() {
        Stream.of(new SessionScript.PublicReader(ROUTES, "p"), new SessionScript.OwnReader(ROUTES, "o"))
                .flatMap(script -> LongStream.range(0, 12).mapToObj(script::step))
                .forEach(step -> assertThat(step.operation().isWrite(), is(false)));
    }
}
