package org.geraniumproxy.core.configuration;

import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;

/** One difference between two configurations. */
public sealed interface ConfigurationChange {
    /**
     * A customer was added.
     *
     * @param customer the new customer with its keys
     */
    record CustomerAdded(Customer customer) implements ConfigurationChange {}

    /**
     * A customer was removed.
     *
     * @param customer name of the removed customer
     */
    record CustomerRemoved(CustomerName customer) implements ConfigurationChange {}

    /**
     * The rate, burst or weight of a customer changed.
     *
     * @param before the customer with the old limits
     * @param after the customer with the new limits
     */
    record AllowanceChanged(Customer before, Customer after) implements ConfigurationChange {}

    /**
     * A key was added to an existing customer.
     *
     * @param customer name of the customer
     * @param digest digest of the new key
     */
    record KeyGranted(CustomerName customer, KeyDigest digest) implements ConfigurationChange {}

    /**
     * A key was withdrawn from an existing customer. Open streams and transactions that use the key are terminated.
     *
     * @param customer name of the customer
     * @param digest digest of the withdrawn key
     */
    record KeyWithdrawn(CustomerName customer, KeyDigest digest) implements ConfigurationChange {}

    /**
     * A group was added.
     *
     * @param group the new group with its backend servers
     */
    record GroupAdded(DatabaseGroup group) implements ConfigurationChange {}

    /**
     * A group was removed.
     *
     * @param group name of the removed group
     */
    record GroupRemoved(GroupName group) implements ConfigurationChange {}

    /**
     * The slots or connections of a group changed.
     *
     * @param before the group with the old numbers
     * @param after the group with the new numbers
     */
    record CapacityChanged(DatabaseGroup before, DatabaseGroup after) implements ConfigurationChange {}

    /**
     * A backend server was added to an existing group.
     *
     * @param group name of the group
     * @param backendServer the new backend server
     */
    record BackendServerAdded(GroupName group, BackendServer backendServer) implements ConfigurationChange {}

    /**
     * A backend server was removed from an existing group.
     *
     * @param group name of the group
     * @param backendServer name of the removed backend server
     */
    record BackendServerRemoved(GroupName group, BackendServerName backendServer) implements ConfigurationChange {}

    /**
     * The address, region or failure domain of a backend server changed.
     *
     * @param group name of the group
     * @param before the backend server with the old values
     * @param after the backend server with the new values
     */
    record BackendServerChanged(GroupName group, BackendServer before, BackendServer after)
            implements ConfigurationChange {}

    /**
     * A route was added.
     *
     * @param route the new route
     */
    record RouteAdded(Route route) implements ConfigurationChange {}

    /**
     * A route was removed.
     *
     * @param route name of the removed route
     */
    record RouteRemoved(RouteName route) implements ConfigurationChange {}

    /**
     * Any property of a route changed.
     *
     * @param before the old route
     * @param after the new route
     */
    record RouteChanged(Route before, Route after) implements ConfigurationChange {}
}
