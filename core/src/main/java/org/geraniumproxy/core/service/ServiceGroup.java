package org.geraniumproxy.core.service;

import org.geraniumproxy.core.identity.GroupName;

/**
 * A group of databases with one primary.
 *
 * @param name name of the group
 * @param connectionLimit maximum number of connections to one database from all VMs together
 * @param synchronousReplicas number of replicas that receive a commit before it is acknowledged
 */
public record ServiceGroup(GroupName name, int connectionLimit, int synchronousReplicas) {}
