package org.geraniumproxy.core.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * Compares two configurations.
 *
 * <pre>{@code
 * List<ConfigurationChange> changes = ConfigurationDifference.between(current, proposed);
 * }</pre>
 */
public final class ConfigurationDifference {
    private ConfigurationDifference() {}

    /**
     * Computes the changes that turn one configuration into another one.
     *
     * @param before the old configuration
     * @param after the new configuration
     * @return the changes of customers, then groups, then routes, each sorted by name; empty if there are none
     */
    public static List<ConfigurationChange> between(Configuration before, Configuration after) {
        List<ConfigurationChange> changes = new ArrayList<>();
        changes.addAll(compare(
                before.customers(),
                after.customers(),
                ConfigurationChange.CustomerAdded::new,
                customer -> new ConfigurationChange.CustomerRemoved(customer.name()),
                ConfigurationDifference::compareCustomers));
        changes.addAll(compare(
                before.groups(),
                after.groups(),
                ConfigurationChange.GroupAdded::new,
                group -> new ConfigurationChange.GroupRemoved(group.name()),
                ConfigurationDifference::compareGroups));
        changes.addAll(compare(
                before.routes(),
                after.routes(),
                ConfigurationChange.RouteAdded::new,
                route -> new ConfigurationChange.RouteRemoved(route.name()),
                (left, right) -> List.of(new ConfigurationChange.RouteChanged(left, right))));
        return List.copyOf(changes);
    }

    private static <N extends Comparable<N>, T> List<ConfigurationChange> compare(
            Map<N, T> before,
            Map<N, T> after,
            Function<T, ConfigurationChange> added,
            Function<T, ConfigurationChange> removed,
            BiFunction<T, T, List<ConfigurationChange>> changed) {
        Set<N> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        List<ConfigurationChange> changes = new ArrayList<>();
        for (N name : names) {
            Optional<T> left = Optional.ofNullable(before.get(name));
            Optional<T> right = Optional.ofNullable(after.get(name));
            if (left.isEmpty()) {
                changes.add(added.apply(right.orElseThrow()));
            } else if (right.isEmpty()) {
                changes.add(removed.apply(left.get()));
            } else if (!left.equals(right)) {
                changes.addAll(changed.apply(left.get(), right.get()));
            }
        }
        return changes;
    }

    private static List<ConfigurationChange> compareCustomers(Customer before, Customer after) {
        List<ConfigurationChange> changes = new ArrayList<>();
        boolean hasSameLimits = before.ratePerSecond() == after.ratePerSecond()
                && before.burst() == after.burst()
                && before.weight() == after.weight();
        if (!hasSameLimits) {
            changes.add(new ConfigurationChange.AllowanceChanged(before, after));
        }
        subtract(after.keyDigests(), before.keyDigests())
                .forEach(digest -> changes.add(new ConfigurationChange.KeyGranted(after.name(), digest)));
        subtract(before.keyDigests(), after.keyDigests())
                .forEach(digest -> changes.add(new ConfigurationChange.KeyWithdrawn(after.name(), digest)));
        return changes;
    }

    private static List<KeyDigest> subtract(Collection<KeyDigest> digests, Collection<KeyDigest> excluded) {
        Set<KeyDigest> remaining = new HashSet<>(digests);
        remaining.removeAll(excluded);
        return remaining.stream()
                .sorted(Comparator.comparing(KeyDigest::hexadecimal))
                .toList();
    }

    private static List<ConfigurationChange> compareGroups(DatabaseGroup before, DatabaseGroup after) {
        List<ConfigurationChange> changes = new ArrayList<>();
        boolean hasSameCapacity = before.slots() == after.slots()
                && before.connections() == after.connections()
                && before.standbyConnections() == after.standbyConnections();
        if (!hasSameCapacity) {
            changes.add(new ConfigurationChange.CapacityChanged(before, after));
        }
        changes.addAll(compare(
                byName(before),
                byName(after),
                server -> new ConfigurationChange.BackendServerAdded(after.name(), server),
                server -> new ConfigurationChange.BackendServerRemoved(after.name(), server.name()),
                (left, right) -> List.of(new ConfigurationChange.BackendServerChanged(after.name(), left, right))));
        return changes;
    }

    private static Map<BackendServerName, BackendServer> byName(DatabaseGroup group) {
        return group.backendServers().stream().collect(Collectors.toMap(BackendServer::name, Function.identity()));
    }
}
