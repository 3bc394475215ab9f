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
 * @param callerAddress listening address for callers
 * @param peerAddress listening address for other VMs and geraniumctl, published in the roster
 * @param metricsAddress listening address for metrics and health checks
 * @param storeAddress address of the platform's store
 * @param vmListAddress address of the platform's list of VMs, empty if there is none
 * @param drainTimeout maximum time that a planned stop waits for running statements and transactions
 * @param security transport security of all gRPC connections
 * @param otlpEndpoint URL that traces are exported to, empty to disable the export
 * @param detectionTimeout fixed failure detection timeout of a primary for measurements, empty for the adaptive timeout
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
    /** Drain timeout if the file sets none: the design limit for the wait of a planned stop. */
    public static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofSeconds(30);
}
