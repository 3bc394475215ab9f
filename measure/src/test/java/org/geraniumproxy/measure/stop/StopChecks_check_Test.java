package org.geraniumproxy.measure.stop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import org.geraniumproxy.measure.stop.ClientRequest.Part;
import org.geraniumproxy.measure.stop.DatabaseEvent.Step;
import org.geraniumproxy.measure.stop.Finding.Kind;
import org.junit.jupiter.api.Test;

/**
 * Guards against checks that never fail, and against findings in cases that the rules allow. Times are milliseconds.
 */
class StopChecks_check_Test {
    private static final Duration GRACE = Duration.ofSeconds(6);
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final Outcome CUT = new Outcome.Cut("closed");

    @Test
    void should_report_a_request_that_was_passed_on_and_cut() {
        assertThat(
                kinds(request(Part.SINGLE, 2200, 2250, CUT), at(Step.RECEIVED, 2210)), contains(Kind.LOST_PASSED_ON));
    }

    @Test
    void should_report_a_request_that_was_read_and_cut() {
        assertThat(kinds(request(Part.SINGLE, 2200, 2401, CUT)), contains(Kind.LOST_READ));
    }

    @Test
    void should_allow_a_request_that_may_not_have_been_read() {
        assertThat(kinds(request(Part.SINGLE, 2200, 2400, CUT)), empty());
    }

    @Test
    void should_report_a_cut_long_after_a_stop() {
        assertThat(
                kinds(request(Part.SINGLE, 7001, 7300, CUT), at(Step.RECEIVED, 7010)),
                contains(Kind.LOST_WITHOUT_STOP));
    }

    @Test
    void should_allow_a_cut_after_the_timeout_of_the_route() {
        assertThat(kinds(request(Part.SINGLE, 1000, 4000, CUT), at(Step.RECEIVED, 1010)), empty());
    }

    @Test
    void should_allow_an_early_request_that_is_at_work_in_the_last_sixth_of_the_grace_period() {
        ClientRequest early = request(Part.SINGLE, 3000, 5900, CUT);
        ClientRequest late = request(Part.SINGLE, 3001, 5900, CUT);
        DatabaseEvent received = at(Step.RECEIVED, 3010);
        DatabaseEvent begun = at(Step.BEGUN, 3020);
        assertThat(kinds(early, received, begun, at(Step.ENDED, 5000)), empty());
        assertThat(kinds(early, received, begun, at(Step.ENDED, 4999)), contains(Kind.LOST_PASSED_ON));
        assertThat(kinds(late, received, begun, at(Step.ENDED, 5000)), contains(Kind.LOST_PASSED_ON));
    }

    @Test
    void should_grant_an_open_transaction_the_first_half_of_the_grace_period() {
        DatabaseEvent received = at(Step.RECEIVED, 2000);
        assertThat(kinds(request(Part.INSIDE_TRANSACTION, 2000, 3000, CUT), received), contains(Kind.LOST_PASSED_ON));
        assertThat(kinds(request(Part.INSIDE_TRANSACTION, 2000, 3001, CUT), received), empty());
        assertThat(kinds(request(Part.FIRST_OF_TRANSACTION, 2000, 3001, CUT), received), contains(Kind.LOST_PASSED_ON));
    }

    @Test
    void should_report_a_refused_write_that_was_committed() {
        Outcome refused = new Outcome.Answered("ERROR BUSY try again", "I");
        Outcome failed = new Outcome.Answered("ERROR INDOUBT unknown", "I");
        DatabaseEvent committed = at(Step.COMMITTED, 110);
        assertThat(kinds(request(Part.SINGLE, 100, 120, refused), committed), contains(Kind.REFUSED));
        assertThat(kinds(request(Part.SINGLE, 100, 120, refused)), empty());
        assertThat(kinds(request(Part.SINGLE, 100, 120, failed), committed), empty());
    }

    @Test
    void should_report_a_write_that_was_committed_twice() {
        ClientRequest request = request(Part.SINGLE, 100, 120, new Outcome.Answered("COMPLETE x", "I"));
        assertThat(kinds(request, at(Step.COMMITTED, 105), at(Step.COMMITTED, 110)), contains(Kind.TWICE));
    }

    @Test
    void should_report_a_stop_that_fails_or_is_killed() {
        StopRecord failed = new StopRecord("edge-1", time(0), time(100), 143, false);
        StopRecord killed = new StopRecord("edge-1", time(0), time(6000), 137, true);
        RunRecord run = new RunRecord(List.of(), List.of(), List.of(failed, killed), List.of(), List.of("late"), 0);
        assertThat(
                StopChecks.check(run, GRACE).stream().map(Finding::kind).toList(),
                contains(Kind.STOP, Kind.STOP, Kind.NODE));
    }

    private static List<Kind> kinds(ClientRequest request, DatabaseEvent... events) {
        StopRecord stop = new StopRecord("edge-1", time(0), time(5900), 0, false);
        RunRecord run = new RunRecord(List.of(request), Arrays.asList(events), List.of(stop), List.of(), List.of(), 0);
        return StopChecks.check(run, GRACE).stream().map(Finding::kind).toList();
    }

    private static ClientRequest request(Part part, long sent, long ended, Outcome outcome) {
        return new ClientRequest("r1", "r1", "edge-1", part, TIMEOUT, time(sent), time(ended), outcome);
    }

    private static DatabaseEvent at(Step step, long millis) {
        return new DatabaseEvent("r1", "i-1a", 1, step, time(millis));
    }

    private static Instant time(long millis) {
        return Instant.EPOCH.plusMillis(millis);
    }
}
