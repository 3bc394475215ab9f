package org.geraniumproxy.core.configuration;

import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;

/**
 * A backend server: one database of a group.
 *
 * @param name its name, unique in the configuration
 * @param address its host and port
 * @param region its region
 * @param failureDomain its failure domain
 */
public record BackendServer(BackendServerName name, String address, RegionName region, FailureDomain failureDomain) {}
