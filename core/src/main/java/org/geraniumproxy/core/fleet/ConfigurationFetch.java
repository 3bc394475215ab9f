package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.routing.RendezvousHash;
import org.geraniumproxy.core.routing.Stagger;

/**
 * Decides when this VM fetches a newer configuration from which other VM. One request is in flight at a time. A VM that
 * the store answers waits for its own watch first, because a change ends the watches of all VMs and the contents would
 * otherwise be transferred twice. A VM that the store turns away must have a changed configuration within 3 s: at most
 * 0.5 s until a message names it, 1.25 s of wait, and two requests of 0.6 s.
 *
 * @param newestVersion newest version that another VM has named
 * @param dueAt time of the next request; {@link Instant#MAX} if no newer version is known
 * @param inFlight request without an answer
 * @param failures consecutive requests that brought no newer configuration
 * @param failedSources VMs whose requests failed since the newest version became known
 */
record ConfigurationFetch(
        long newestVersion, Instant dueAt, Optional<Request> inFlight, int failures, Set<VmName> failedSources) {
    /** Wait for the own watch, which returns a change after its coalescing delay and one round trip. */
    static final Duration OWN_WATCH_WAIT = Duration.ofSeconds(1);

    /**
     * Time for which a confirmed registration shows that the store answers. Renewals are 1.5 s apart and may take half
     * a second.
     */
    static final Duration STORE_CONTACT_VALIDITY = Duration.ofSeconds(2);

    /** Time after which a request without an answer is given up, so that a second one fits into the bound. */
    static final Duration REQUEST_TIMEOUT = Duration.ofMillis(600);

    private static final Duration FIRST_BACK_OFF = Duration.ofMillis(100);
    private static final int MAXIMUM_DOUBLINGS = 4;

    /** Share of each further VM in the time over which the first requests are spread. */
    private static final Duration SPREAD_PER_VM = Duration.ofMillis(3);

    private static final Duration MAXIMUM_SPREAD = Duration.ofMillis(250);

    static final ConfigurationFetch NONE = new ConfigurationFetch(0, Instant.MAX, Optional.empty(), 0, Set.of());

    ConfigurationFetch {
        failedSources = Set.copyOf(failedSources);
    }

    /** Request to another VM that hasn't ended. */
    record Request(VmName vm, long version, Instant sentAt) {}

    /** What the decision is based on. */
    record Situation(VmName self, long ownVersion, TrackedPeers peers, Instant now) {
        boolean storeAnswers() {
            return peers.registeredAt().isAfter(now.minus(STORE_CONTACT_VALIDITY));
        }

        Duration spread() {
            int vms = peers.addresses().size() + 1;
            if (vms <= TrackedPeers.SMALL_FLEET_VMS) {
                return Duration.ZERO;
            }
            Duration spread = SPREAD_PER_VM.multipliedBy(vms);
            return spread.compareTo(MAXIMUM_SPREAD) < 0 ? spread : MAXIMUM_SPREAD;
        }
    }

    /** Applies that another VM has a version. */
    ConfigurationFetch versionNamed(long version, Situation situation) {
        if (version <= newestVersion || version <= situation.ownVersion()) {
            return this;
        }
        if (newestVersion > situation.ownVersion()) {
            // A newer one than the version that is being fetched: its time stays, so that the bound holds.
            return new ConfigurationFetch(version, dueAt, inFlight, failures, Set.of());
        }
        Duration wait = situation.storeAnswers() ? OWN_WATCH_WAIT : Duration.ZERO;
        Duration stagger = Stagger.of("fetch/" + version, situation.self().value(), situation.spread());
        return new ConfigurationFetch(version, situation.now().plus(wait).plus(stagger), inFlight, 0, Set.of());
    }

    /** Applies the end of a request, whether it brought a configuration or not. */
    ConfigurationFetch ended(VmName vm, Situation situation) {
        if (inFlight.filter(request -> request.vm().equals(vm)).isEmpty()) {
            return this;
        }
        return inFlight.get().version() <= situation.ownVersion()
                ? new ConfigurationFetch(newestVersion, dueAt, Optional.empty(), 0, Set.of())
                : failed(inFlight.get(), situation.now());
    }

    private ConfigurationFetch failed(Request request, Instant now) {
        Set<VmName> sources = new HashSet<>(failedSources);
        sources.add(request.vm());
        Duration backOff = FIRST_BACK_OFF.multipliedBy(1L << Math.min(failures, MAXIMUM_DOUBLINGS));
        return new ConfigurationFetch(newestVersion, now.plus(backOff), Optional.empty(), failures + 1, sources);
    }

    /** Sends a request if one is due. Costs nothing while no newer version is known. */
    ConfigurationFetch sendIfDue(Situation situation, List<FleetEffect> effects) {
        Instant now = situation.now();
        if (inFlight.isPresent()) {
            boolean timedOut = !now.isBefore(inFlight.get().sentAt().plus(REQUEST_TIMEOUT));
            return timedOut ? failed(inFlight.get(), now) : this;
        }
        if (newestVersion <= situation.ownVersion()) {
            return failures == 0 && dueAt.equals(Instant.MAX)
                    ? this
                    : new ConfigurationFetch(newestVersion, Instant.MAX, Optional.empty(), 0, Set.of());
        }
        return now.isBefore(dueAt) ? this : send(situation, effects);
    }

    private ConfigurationFetch send(Situation situation, List<FleetEffect> effects) {
        Map<VmName, String> addresses = situation.peers().addresses();
        Optional<PeerMessage> source = situation
                .peers()
                .lastMessages()
                .values()
                .map(TimestampedPeerMessage::message)
                .filter(message -> message.configurationVersion() > situation.ownVersion())
                .filter(message -> addresses.containsKey(message.sender()))
                .min(preference(situation));
        if (source.isEmpty()) {
            return this;
        }
        VmName vm = source.get().sender();
        long version = source.get().configurationVersion();
        effects.add(new FleetEffect.FetchConfiguration(vm, addresses.get(vm), version, REQUEST_TIMEOUT));
        return new ConfigurationFetch(
                newestVersion, dueAt, Optional.of(new Request(vm, version, situation.now())), failures, failedSources);
    }

    /**
     * Prefers VMs that have not failed, then the newest version, then the own region. Among equals each VM prefers
     * another one, so that they don't all ask the same.
     */
    private Comparator<PeerMessage> preference(Situation situation) {
        Map<VmName, RegionName> regions = situation.peers().regions();
        RegionName ownRegion = regions.get(situation.self());
        String key = "fetch/" + situation.self().value();
        return Comparator.<PeerMessage, Boolean>comparing(message -> failedSources.contains(message.sender()))
                .thenComparing(message -> -message.configurationVersion())
                .thenComparing(message -> ownRegion == null || !ownRegion.equals(regions.get(message.sender())))
                .thenComparing(
                        message -> RendezvousHash.score(key, message.sender().value()));
    }
}
