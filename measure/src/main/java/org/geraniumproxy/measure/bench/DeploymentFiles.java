package org.geraniumproxy.measure.bench;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.geraniumproxy.core.configuration.KeyDigest;

/** Generates the configuration file and the settings files of a deployment. */
public final class DeploymentFiles {
    private DeploymentFiles() {}

    /**
     * Returns the contents of the configuration file.
     *
     * @param deployment sizes and names
     * @param addresses addresses of the processes
     * @param keys keys by name of the customer
     * @return text in TOML format
     */
    public static String configuration(Deployment deployment, Addresses addresses, Map<String, String> keys) {
        StringBuilder text = new StringBuilder("format = 1\n");
        for (Deployment.CustomerProfile customer : deployment.customers()) {
            text.append(customer(customer, keys.get(customer.name())));
        }
        deployment.groups().forEach(group -> text.append(group(deployment, addresses, group)));
        Deployment.RouteNames names = deployment.routeNames();
        text.append(route(names.register(), deployment.groups(), "write", "0ms", ""));
        text.append(route(names.pay(), deployment.groups(), "write", "0ms", ""));
        text.append(route(
                names.view(),
                deployment.groups(),
                "read",
                "2s",
                deployment.openCustomer().name()));
        deployment
                .groups()
                .forEach(group ->
                        text.append(route(deployment.singleGroupRoute(group), List.of(group), "write", "0ms", "")));
        return text.toString();
    }

    /**
     * Returns the contents of the settings file of a VM.
     *
     * @param deployment sizes and names
     * @param addresses addresses of the processes
     * @param index index of the VM, from zero
     * @param detectionTimeout fixed timeout after which a primary is suspected, empty for adaptive detection
     * @return text in TOML format
     */
    public static String settings(
            Deployment deployment, Addresses addresses, int index, Optional<Duration> detectionTimeout) {
        Addresses.VmAddresses vm = addresses.vms().get(index);
        String region = deployment.regions().get(index % deployment.regions().size());
        int domain = index / deployment.regions().size() + 1;
        String text = """
                name = "%s"
                region = "%s"
                failure-domain = "%s-%d"
                caller-address = "%s"
                peer-address = "%s"
                metrics-address = "%s"
                store-address = "%s"
                vm-list-address = "%s"
                drain-timeout = "2s"
                plain-text = true
                """.formatted(
                        vm.name(),
                        region,
                        region,
                        domain,
                        vm.caller(),
                        vm.peer(),
                        vm.metrics(),
                        addresses.store(),
                        addresses.vmList());
        return text
                + detectionTimeout
                        .map(timeout -> "detection-timeout = \"%dms\"\n".formatted(timeout.toMillis()))
                        .orElse("");
    }

    private static String customer(Deployment.CustomerProfile customer, String key) {
        return """

                [customers."%s"]
                rate = %s
                burst = %d
                weight = %d
                key-digests = ["%s"]
                """.formatted(
                        customer.name(),
                        customer.rate(),
                        customer.burst(),
                        customer.weight(),
                        KeyDigest.ofKey(key).hexadecimal());
    }

    private static String group(Deployment deployment, Addresses addresses, String group) {
        StringBuilder text = new StringBuilder("""

                [groups.%s]
                slots = %d
                connections = %d
                standby-connections = %d
                """.formatted(
                group, deployment.slots(), deployment.maximumConnections(), deployment.maximumConnections() / 4));
        List<String> databases = deployment.databases(group);
        for (int i = 0; i < databases.size(); i++) {
            String region = deployment.regions().get(i);
            text.append("""

                    [[groups.%s.backend-servers]]
                    name = "%s"
                    address = "%s"
                    region = "%s"
                    failure-domain = "%s-1"
                    """.formatted(
                            group, databases.get(i), addresses.databases().get(databases.get(i)), region, region));
        }
        return text.toString();
    }

    private static String route(
            String name, List<String> groups, String access, String acceptedAge, String openCustomer) {
        String quoted = groups.stream().map(group -> "\"" + group + "\"").collect(Collectors.joining(", "));
        String open = openCustomer.isEmpty() ? "" : "open-customer = \"" + openCustomer + "\"\n";
        return """

                [routes.%s]
                groups = [%s]
                access = "%s"
                accepted-age = "%s"
                """.formatted(name, quoted, access, acceptedAge) + open;
    }
}
