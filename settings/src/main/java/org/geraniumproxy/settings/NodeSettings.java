package org.geraniumproxy.settings;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;

/**
 * Settings of one proxy process.
 *
 * @param name name of the VM, unique in the roster
 * @param region region of the VM
 * @param failureDomain failure domain of the VM
 * @param callerAddress address on which callers are served
 * @param peerAddress address on which other VMs and geraniumctl are served; the roster names it
 * @param metricsAddress address of metrics and health
 * @param storeAddress address of the platform's store
 * @param vmListAddress address of the platform's list of VMs, empty if there is none
 * @param drainTimeout longest time that a planned stop waits for running statements and transactions
 * @param security protection of all gRPC links
 * @param otlpEndpoint URL that traces are exported to, empty for no export
 * @param detectionTimeout fixed time after which a primary is suspected, empty for the adaptive one; for measurements
 */
public record NodeSettings(
        VmName name,
        RegionName region,
        FailureDomain failureDomain,
        HostAndPort callerAddress,
        HostAndPort peerAddress,
        HostAndPort metricsAddress,
        HostAndPort storeAddress,
        Optional<HostAndPort> vmListAddress,
        Duration drainTimeout,
        TransportSecurity security,
        Optional<String> otlpEndpoint,
        Optional<Duration> detectionTimeout) {
    /** Drain timeout of a file that names none: the longest wait of a planned stop in the design. */
    public static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofSeconds(30);
}
