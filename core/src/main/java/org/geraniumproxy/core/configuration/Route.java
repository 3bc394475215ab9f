package org.geraniumproxy.core.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.routing.Access;

/**
 * Groups, access rules and customers of the requests that name this route.
 *
 * @param name unique name in the configuration
 * @param groups groups that the statement keys are partitioned over, at least one
 * @param access highest access level; {@link Access#WRITE} includes reads
 * @param acceptedAge maximum staleness that a read may accept, zero if reads must see the newest data
 * @param openCustomer customer that requests without a key run as, or empty if the route requires a key
 * @param customers customers that may use the route, empty for all
 */
public record Route(
        RouteName name,
        List<GroupName> groups,
        Access access,
        Duration acceptedAge,
        Optional<CustomerName> openCustomer,
        Set<CustomerName> customers) {
    /**
     * Copies the collections and validates the route.
     *
     * @throws IllegalArgumentException if it has no group or a negative age
     */
    public Route {
        groups = List.copyOf(groups);
        customers = Set.copyOf(customers);
        if (groups.isEmpty()) {
            throw new IllegalArgumentException("route has no group: " + name);
        }
        if (acceptedAge.isNegative()) {
            throw new IllegalArgumentException("accepted age must not be negative on route " + name);
        }
    }

    /**
     * Selects the group of a statement key by its hash. An unchanged route always selects the same group for a key.
     *
     * @param statementKey partition key of the statement
     * @return the group that holds the data of the key
     */
    public GroupName selectGroup(String statementKey) {
        return groups.get(Math.floorMod(statementKey.hashCode(), groups.size()));
    }
}
