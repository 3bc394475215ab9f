package org.geraniumproxy.control;

import java.util.Locale;
import java.util.stream.Collectors;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.configuration.ConfigurationChange;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.configuration.Route;
import org.geraniumproxy.settings.Durations;

/** Formats configuration changes as text. */
final class ChangeMessages {
    /** Enough digits to find the digest in a file. */
    private static final int DISPLAYED_DIGEST_DIGITS = 12;

    private ChangeMessages() {}

    static String of(ConfigurationChange change) {
        return switch (change) {
            case ConfigurationChange.CustomerAdded(Customer customer) ->
                "+ customer " + customer.name() + ": " + describeLimits(customer) + ", "
                        + customer.keyDigests().size() + " keys";
            case ConfigurationChange.CustomerRemoved(var customer) -> "- customer " + customer;
            case ConfigurationChange.AllowanceChanged(Customer before, Customer after) ->
                "~ customer " + after.name() + ": " + describeLimits(before) + " -> " + describeLimits(after);
            case ConfigurationChange.KeyGranted(var customer, KeyDigest digest) ->
                "+ key " + abbreviate(digest) + " of customer " + customer;
            case ConfigurationChange.KeyWithdrawn(var customer, KeyDigest digest) ->
                "- key " + abbreviate(digest) + " of customer " + customer;
            case ConfigurationChange.GroupAdded(DatabaseGroup group) ->
                "+ group " + group.name() + ": " + describeCapacity(group) + ", "
                        + group.backendServers().size() + " backend servers";
            case ConfigurationChange.GroupRemoved(var group) -> "- group " + group;
            case ConfigurationChange.CapacityChanged(DatabaseGroup before, DatabaseGroup after) ->
                "~ group " + after.name() + ": " + describeCapacity(before) + " -> " + describeCapacity(after);
            case ConfigurationChange.BackendServerAdded(var group, BackendServer server) ->
                "+ backend server " + server.name() + " of group " + group + ": " + describeLocation(server);
            case ConfigurationChange.BackendServerRemoved(var group, var server) ->
                "- backend server " + server + " of group " + group;
            case ConfigurationChange.BackendServerChanged(var group, BackendServer before, BackendServer after) ->
                "~ backend server " + after.name() + " of group " + group + ": " + describeLocation(before) + " -> "
                        + describeLocation(after);
            case ConfigurationChange.RouteAdded(Route route) -> "+ route " + route.name() + ": " + describe(route);
            case ConfigurationChange.RouteRemoved(var route) -> "- route " + route;
            case ConfigurationChange.RouteChanged(Route before, Route after) ->
                "~ route " + after.name() + ": " + describe(before) + " -> " + describe(after);
        };
    }

    private static String describeLimits(Customer customer) {
        return "rate " + customer.ratePerSecond() + "/s, burst " + customer.burst() + ", weight " + customer.weight();
    }

    private static String abbreviate(KeyDigest digest) {
        return digest.hexadecimal().substring(0, DISPLAYED_DIGEST_DIGITS);
    }

    private static String describeCapacity(DatabaseGroup group) {
        return group.slots() + " slots, " + group.connections() + " connections, " + group.standbyConnections()
                + " of them standby";
    }

    private static String describeLocation(BackendServer server) {
        return server.address() + " in " + server.region() + "/" + server.failureDomain();
    }

    private static String describe(Route route) {
        String groups = route.groups().stream().map(Object::toString).collect(Collectors.joining(", "));
        String customers = route.customers().isEmpty()
                ? "all customers"
                : route.customers().stream().map(Object::toString).sorted().collect(Collectors.joining(", "));
        String open =
                route.openCustomer().map(customer -> ", open as " + customer).orElse("");
        return route.access().name().toLowerCase(Locale.ROOT) + " on " + groups + ", age up to "
                + Durations.format(route.acceptedAge()) + ", for " + customers + open;
    }
}
