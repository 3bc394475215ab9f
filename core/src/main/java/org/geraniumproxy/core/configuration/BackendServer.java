package org.geraniumproxy.core.configuration;

import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;

/**
 * A backend server: one database of a group.
 *
 * @param name unique name in the configuration
 * @param address host and port
 * @param region region that it runs in
 * @param failureDomain failure domain that it runs in
 */
public record BackendServer(BackendServerName name, String address, RegionName region, FailureDomain failureDomain) {}
