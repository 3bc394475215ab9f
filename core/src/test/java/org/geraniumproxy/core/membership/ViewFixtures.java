package org.geraniumproxy.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.ConfigurationRevision;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;

/** Rosters, configurations, states and replies for the tests of this package. */
final class ViewFixtures {
    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private ViewFixtures() {}

    static Roster roster(int vmCount) {
        List<Vm> vms = new ArrayList<>();
        for (int index = 0; index < vmCount; index++) {
            RegionName region = RegionName.of("region-" + index % 3);
            FailureDomain failureDomain = FailureDomain.of("domain-" + index % 7);
            vms.add(new Vm(index, name(index), "127.0.0.1:" + (7000 + index), region, failureDomain, 1, false));
        }
        return new Roster(1, vms);
    }

    static VmName name(int index) {
        return VmName.of("vm-" + index);
    }

    static KnownConfiguration configuration(long revision) {
        ConfigurationRevision configurationRevision =
                new ConfigurationRevision(revision, "apply-" + revision, "digest-" + revision, Configuration.EMPTY);
        return new KnownConfiguration(configurationRevision, "text-" + revision);
    }

    static ViewState apply(ViewState state, ViewEvent event, Instant now) {
        return ViewTransitions.apply(state, event, now).state();
    }

    /** Returns a state that has read roster and manifest from the store at the given time. */
    static ViewState readFromStore(int self, int vmCount, Instant now) {
        ViewState joined = apply(ViewState.initial(name(self)), new ViewEvent.RosterRead(now, roster(vmCount)), now);
        return apply(joined, new ViewEvent.ManifestRead(now, configuration(1)), now);
    }

    /** Returns the reply of one VM to a view exchange requested by another. */
    static ViewEvent.PeerReplied answer(ViewState peer, ViewState asker, Instant requestSentAt, Instant answeredAt) {
        Optional<Duration> age = peer.provenAt(answeredAt).map(provenAt -> Duration.between(provenAt, answeredAt));
        boolean newerConfiguration =
                peer.configuration().number() > asker.configuration().number();
        boolean newerRoster = peer.roster().revision() > asker.roster().revision();
        return new ViewEvent.PeerReplied(
                peer.self(),
                requestSentAt,
                peer.configuration().number(),
                peer.roster().revision(),
                age,
                peer.mayVote(),
                peer.draining(),
                newerConfiguration ? Optional.of(peer.configuration()) : Optional.empty(),
                newerRoster ? Optional.of(peer.roster()) : Optional.empty());
    }
}
