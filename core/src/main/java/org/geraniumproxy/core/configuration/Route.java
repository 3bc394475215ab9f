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
 * A route: what a caller names in its request, and the groups that serve it.
 *
 * @param name its name
 * @param groups the groups that its statement keys are spread over, at least one
 * @param access the greatest access that it allows; {@link Access#WRITE} allows reads too
 * @param acceptedAge greatest age that a read on it may accept, zero if it must see the newest data
 * @param openCustomer the customer that requests without a key run for, or empty if the route needs a key
 * @param customers the customers that may use it, empty for all
 */
public record Route(
        RouteName name,
        List<GroupName> groups,
        Access access,
        Duration acceptedAge,
        Optional<CustomerName> openCustomer,
        Set<CustomerName> customers) {
    /**
     * Copies the lists and validates the route.
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
     * Selects the group of a statement key. The same key always selects the same group of an unchanged route.
     *
     * @param statementKey the statement key
     * @return the group
     */
    public GroupName selectGroup(String statementKey) {
        return groups.get(Math.floorMod(statementKey.hashCode(), groups.size()));
    }
}
