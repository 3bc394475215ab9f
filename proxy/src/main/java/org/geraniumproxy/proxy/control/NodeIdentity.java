package org.geraniumproxy.proxy.control;

import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;

/**
 * What a node says of itself in the roster.
 *
 * @param name name of the VM
 * @param peerAddress host and port of its peer service
 * @param region its region
 * @param failureDomain its failure domain
 * @param incarnation number of its process
 */
public record NodeIdentity(
        VmName name, String peerAddress, RegionName region, FailureDomain failureDomain, long incarnation) {}
