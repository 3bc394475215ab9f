package org.geraniumproxy.core.configuration;

import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;

/** One difference between two configurations. */
public sealed interface ConfigurationChange {
    /**
     * A new customer.
     *
     * @param customer the customer
     */
    record CustomerAdded(Customer customer) implements ConfigurationChange {}

    /**
     * A customer that no longer exists.
     *
     * @param customer its name
     */
    record CustomerRemoved(CustomerName customer) implements ConfigurationChange {}

    /**
     * A customer with a different rate, burst or weight.
     *
     * @param before the customer before
     * @param after the customer after
     */
    record AllowanceChanged(Customer before, Customer after) implements ConfigurationChange {}

    /**
     * A key that an existing customer gains.
     *
     * @param customer the customer
     * @param digest the digest of the key
     */
    record KeyGranted(CustomerName customer, KeyDigest digest) implements ConfigurationChange {}

    /**
     * A key that an existing customer loses. Its open streams and transactions are ended.
     *
     * @param customer the customer
     * @param digest the digest of the key
     */
    record KeyWithdrawn(CustomerName customer, KeyDigest digest) implements ConfigurationChange {}

    /**
     * A new group.
     *
     * @param group the group
     */
    record GroupAdded(DatabaseGroup group) implements ConfigurationChange {}

    /**
     * A group that no longer exists.
     *
     * @param group its name
     */
    record GroupRemoved(GroupName group) implements ConfigurationChange {}

    /**
     * A group with different numbers of slots or connections.
     *
     * @param before the group before
     * @param after the group after
     */
    record CapacityChanged(DatabaseGroup before, DatabaseGroup after) implements ConfigurationChange {}

    /**
     * A backend server that an existing group gains.
     *
     * @param group the group
     * @param backendServer the backend server
     */
    record BackendServerAdded(GroupName group, BackendServer backendServer) implements ConfigurationChange {}

    /**
     * A backend server that an existing group loses.
     *
     * @param group the group
     * @param backendServer its name
     */
    record BackendServerRemoved(GroupName group, BackendServerName backendServer) implements ConfigurationChange {}

    /**
     * A backend server with a different address, region or failure domain.
     *
     * @param group the group
     * @param before the backend server before
     * @param after the backend server after
     */
    record BackendServerChanged(GroupName group, BackendServer before, BackendServer after)
            implements ConfigurationChange {}

    /**
     * A new route.
     *
     * @param route the route
     */
    record RouteAdded(Route route) implements ConfigurationChange {}

    /**
     * A route that no longer exists.
     *
     * @param route its name
     */
    record RouteRemoved(RouteName route) implements ConfigurationChange {}

    /**
     * A route with different contents.
     *
     * @param before the route before
     * @param after the route after
     */
    record RouteChanged(Route before, Route after) implements ConfigurationChange {}
}
