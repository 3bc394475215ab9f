package org.geraniumproxy.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.caller.PrimaryPositionHistory;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupMembers;
import org.geraniumproxy.core.directory.RecordedMember;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.promotion.DepartedMembers;
import org.junit.jupiter.api.Test;

/** Guards against a process that doesn't know the databases whose entries expired before its start. */
class FleetState_recordedMembers_Test {
    private static final GroupName GROUP = GroupName.of("entries");
    private static final BackendServerName PRESENT = BackendServerName.of("db-1");
    private static final BackendServerName DEPARTED = BackendServerName.of("db-2");
    private static final FleetTiming TIMING = new FleetTiming(Duration.ofSeconds(7), Duration.ofSeconds(4));

    private Instant now = Instant.EPOCH;
    private FleetState state = FleetState.initial(VmName.of("vm-1"), TIMING);

    @Test
    void should_suspect_a_recorded_member_without_an_entry() {
        on(new FleetEvent.DatabasesListed(Map.of(PRESENT, entry(PRESENT, 1))));
        on(recorded(1));
        assertThat(state.suspected(GROUP).keySet(), is(Set.of(DEPARTED)));
        assertThat(state.members(GROUP).databases().keySet(), is(Set.of(PRESENT)));
        assertThat(departed().recordedOnly().learnedAt(), is(Map.of(DEPARTED, now)));
    }

    /** Guards against a group that waits for ever for a primary and a member which never return. */
    @Test
    void should_count_a_recorded_member_until_the_primary_has_been_silent_for_long() {
        on(recorded(1));
        Instant read = now.plusSeconds(40);
        report(LogPosition.of(3, 7), read);
        now = read.plus(FleetState.ACKNOWLEDGED_POSITION_RETENTION).minusMillis(1);
        assertThat(departed().suspected().keySet(), hasItem(DEPARTED));
        assertThat(departed().recordedOnly().areCoveredBy(LogPosition.of(3, 7)), is(true));
        now = now.plusMillis(1);
        assertThat(departed(), is(new DepartedDatabases(Map.of(), DepartedMembers.NONE)));
    }

    /** Guards against a member that is forgotten while no other database holds the commits that it confirmed. */
    @Test
    void should_keep_a_database_without_an_entry_while_the_record_names_it() {
        on(new FleetEvent.DatabasesListed(Map.of(DEPARTED, entry(DEPARTED, 1))));
        on(recorded(1));
        on(new FleetEvent.DatabaseEntryMissing(DEPARTED));
        now = now.plus(TrackedDatabase.MISSING_REPLICA_GRACE_PERIOD)
                .plus(TrackedDatabase.SUSPICION_TIMEOUT)
                .plusMillis(1);
        on(new FleetEvent.StoreAnswered());
        assertThat(departed().recordedOnly().learnedAt().keySet(), hasItem(DEPARTED));
        assertThat(DepartedDatabases.ended(state, now), hasItem(DEPARTED));
        on(new FleetEvent.MembersRecorded(GROUP, GroupMembers.NONE));
        assertThat(departed(), is(new DepartedDatabases(Map.of(), DepartedMembers.NONE)));
    }

    @Test
    void should_use_a_recorded_member_when_its_entry_arrives() {
        on(new FleetEvent.DatabasesListed(Map.of(PRESENT, entry(PRESENT, 1))));
        on(recorded(1));
        on(new FleetEvent.DatabaseEntryChanged(entry(DEPARTED, 1)));
        assertThat(state.isUsed(DEPARTED), is(true));
        assertThat(departed().recordedOnly(), is(DepartedMembers.NONE));
        assertThat(state.recentlyRestartedDatabases(now), empty());
    }

    /** Guards against counting a database whose log was lost in a restart before this process started. */
    @Test
    void should_notice_a_restart_since_the_member_was_recorded() {
        on(new FleetEvent.DatabasesListed(Map.of(PRESENT, entry(PRESENT, 2))));
        on(recorded(1));
        assertThat(state.recentlyRestartedDatabases(now), is(Set.of(PRESENT)));
        now = now.plus(TIMING.catchUpTime()).plusMillis(1);
        on(recorded(1));
        assertThat(state.recentlyRestartedDatabases(now), empty());
    }

    /** Guards against a record that forgets a member, or a restart, while it matters. */
    @Test
    void should_keep_departed_members_and_earlier_starts_in_the_record() {
        GroupMembers members = recorded(1).members();
        Map<BackendServerName, DatabaseEntry> tracked = Map.of(PRESENT, entry(PRESENT, 2));
        assertThat(members.next(tracked, Set.of(PRESENT), Set.of()), is(members));
        assertThat(
                members.next(tracked, Set.of(), Set.of(DEPARTED)),
                is(GroupMembers.of(Set.of(RecordedMember.of(entry(PRESENT, 2))))));
    }

    private void on(FleetEvent event) {
        state = state.on(event, now).state();
    }

    private DepartedDatabases departed() {
        return DepartedDatabases.of(state, GROUP, now);
    }

    private void report(LogPosition position, Instant read) {
        on(new FleetEvent.TrafficReported(
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(GROUP, new PrimaryPositionHistory.Sample(position, read))));
    }

    private static FleetEvent.MembersRecorded recorded(long startedAt) {
        return new FleetEvent.MembersRecorded(
                GROUP,
                GroupMembers.of(Set.of(
                        RecordedMember.of(entry(PRESENT, startedAt)), RecordedMember.of(entry(DEPARTED, startedAt)))));
    }

    private static DatabaseEntry entry(BackendServerName name, long startedAt) {
        return new DatabaseEntry(
                name,
                GROUP,
                "10.0.0.1:5432",
                FailureDomain.of("a"),
                2,
                false,
                false,
                startedAt,
                1,
                new StoreRevision(1, 5));
    }
}
