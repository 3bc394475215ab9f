package org.geraniumproxy.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.configuration.Route;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.routing.Access;

/** Reads the routes of a configuration file and validates their references to groups and customers. */
final class RoutesReader {
    private static final ValueType<Access> ACCESS =
            ValueTypes.parsedText("\"read\", or \"write\" for reads and writes", RoutesReader::parseAccess);
    private static final ValueType<Duration> ACCEPTED_AGE = ValueTypes.duration(Duration.ZERO, Duration.ofHours(24));

    private final FindingCollector findings;
    private final List<String> groupNames;
    private final List<String> customerNames;

    /**
     * Creates a reader.
     *
     * @param findings receives the findings
     * @param groupNames all groups in the file, including invalid ones
     * @param customerNames all customers in the file, including invalid ones
     */
    RoutesReader(FindingCollector findings, Collection<String> groupNames, Collection<String> customerNames) {
        this.findings = findings;
        this.groupNames = List.copyOf(groupNames);
        this.customerNames = List.copyOf(customerNames);
    }

    Map<RouteName, Route> read(Map<String, TomlSection> sections) {
        Map<RouteName, Route> routes = new HashMap<>();
        sections.forEach((name, section) ->
                read(RouteName.of(name), section).ifPresent(route -> routes.put(route.name(), route)));
        return routes;
    }

    private Optional<Route> read(RouteName name, TomlSection section) {
        List<GroupName> groups = readReferences(section, "groups", "group", groupNames).stream()
                .map(GroupName::of)
                .toList();
        Optional<Access> access = section.required("access", ACCESS);
        Duration acceptedAge = section.optional("accepted-age", ACCEPTED_AGE).orElse(Duration.ZERO);
        Optional<CustomerName> openCustomer = readOpenCustomer(section);
        Set<CustomerName> customers = new LinkedHashSet<>();
        readReferences(section, "customers", "customer", customerNames)
                .forEach(customer -> customers.add(CustomerName.of(customer)));
        section.reportUnknownNames();
        if (groups.isEmpty()) {
            findings.add(section.positionOf("groups"), new Problem.MissingName("groups", "at least one group"));
        }
        checkOpenCustomer(section, openCustomer, customers);
        if (groups.isEmpty() || access.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Route(name, groups, access.get(), acceptedAge, openCustomer, customers));
    }

    private Optional<CustomerName> readOpenCustomer(TomlSection section) {
        Optional<String> name = section.optional("open-customer", ValueTypes.NAME);
        name.ifPresent(
                customer -> checkReference("customer", customer, customerNames, section.positionOf("open-customer")));
        return name.map(CustomerName::of);
    }

    private void checkOpenCustomer(
            TomlSection section, Optional<CustomerName> openCustomer, Set<CustomerName> customers) {
        if (openCustomer.isPresent() && !customers.isEmpty() && !customers.contains(openCustomer.get())) {
            findings.add(
                    section.positionOf("open-customer"),
                    new Problem.WrongValue(
                            "open-customer",
                            ValueTypes.quote(openCustomer.get().value()),
                            "one of the customers of the route, or a route without a list of customers"));
        }
    }

    private List<String> readReferences(TomlSection section, String name, String kind, List<String> knownNames) {
        UniqueValues unique = new UniqueValues(kind + " of the route", findings);
        List<String> references = new ArrayList<>();
        for (TomlSection.Located<String> reference : section.list(name, ValueTypes.NAME)) {
            unique.add(reference.value(), reference.position());
            checkReference(kind, reference.value(), knownNames, reference.position());
            references.add(reference.value());
        }
        return references;
    }

    private void checkReference(String kind, String name, List<String> knownNames, SourcePosition position) {
        if (!knownNames.contains(name)) {
            findings.add(position, new Problem.UnknownReference(kind, name, knownNames));
        }
    }

    private static Optional<Access> parseAccess(String text) {
        return switch (text) {
            case "read" -> Optional.of(Access.READ);
            case "write" -> Optional.of(Access.WRITE);
            default -> Optional.empty();
        };
    }
}
