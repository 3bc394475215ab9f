package org.geraniumproxy.core.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;
import org.junit.jupiter.api.Test;

/** Guards against stale reads in sessions whose writes a failover truncated. */
class RequirementCheck_check_Test {
    private static final List<TermStart> TERM_STARTS =
            List.of(new TermStart(Term.of(10), 0), new TermStart(Term.of(20), 100), new TermStart(Term.of(30), 150));
    private static final LogPosition HIGHEST = LogPosition.of(30, 170);

    @Test
    void should_be_satisfied_by_a_write_before_the_start_of_every_later_term() {
        assertThat(
                check(LogPosition.of(10, 100), LogPosition.of(30, 160)),
                is(new RequirementCheckResult.Satisfied(160, LogPosition.of(30, 160), false)));
    }

    @Test
    void should_report_a_write_past_the_start_of_a_later_term_as_lost() {
        assertThat(
                check(LogPosition.of(10, 101), LogPosition.START),
                is(new RequirementCheckResult.WriteLost(LogPosition.of(10, 101))));
    }

    @Test
    void should_clamp_a_read_past_the_start_of_a_later_term() {
        assertThat(
                check(LogPosition.of(10, 90), LogPosition.of(10, 120)),
                is(new RequirementCheckResult.Satisfied(100, LogPosition.of(30, 100), true)));
    }

    @Test
    void should_refuse_a_token_ahead_of_the_group() {
        assertThat(
                check(LogPosition.of(30, 171), LogPosition.START),
                instanceOf(RequirementCheckResult.AheadOfGroup.class));
        assertThat(
                check(LogPosition.START, LogPosition.of(31, 1)), instanceOf(RequirementCheckResult.AheadOfGroup.class));
    }

    private static RequirementCheckResult check(LogPosition lastWrite, LogPosition lastRead) {
        return RequirementCheck.check(new SessionRequirement(lastWrite, lastRead), TERM_STARTS, HIGHEST);
    }
}
