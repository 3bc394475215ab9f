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

    /** Guards against writes with equal statements, which would hide a lost write or look like a second run. */
    @Test
    void should_never_repeat_the_statement_of_a_write() {
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

    /** Guards against a reader script that writes. */
    @Test
    void should_only_read_in_reader_scripts() {
        Stream.of(new SessionScript.PublicReader(ROUTES, "p"), new SessionScript.OwnReader(ROUTES, "o"))
                .flatMap(script -> LongStream.range(0, 12).mapToObj(script::step))
                .forEach(step -> assertThat(step.operation().isWrite(), is(false)));
    }
}
