package org.geraniumproxy.settings;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.identity.CustomerName;

/** Reads the customers of a configuration file. */
final class CustomersReader {
    private static final int DEFAULT_WEIGHT = 1;

    /** A higher weight would leave a customer of weight 1 less than a thousandth of a shared queue. */
    private static final int MAXIMUM_WEIGHT = 1000;

    private final UniqueValues uniqueDigests;

    CustomersReader(FindingCollector findings) {
        // A digest that two customers share would make the customer of a request ambiguous.
        this.uniqueDigests = new UniqueValues("key digest", findings);
    }

    Map<CustomerName, Customer> read(Map<String, TomlSection> sections) {
        Map<CustomerName, Customer> customers = new HashMap<>();
        sections.forEach((name, section) ->
                read(CustomerName.of(name), section).ifPresent(customer -> customers.put(customer.name(), customer)));
        return customers;
    }

    private Optional<Customer> read(CustomerName name, TomlSection section) {
        Optional<Double> rate = section.required("rate", ValueTypes.numberAbove(0));
        Optional<Integer> burst = section.required("burst", ValueTypes.integer(1, Integer.MAX_VALUE));
        int weight = section.optional("weight", ValueTypes.integer(1, MAXIMUM_WEIGHT))
                .orElse(DEFAULT_WEIGHT);
        Set<KeyDigest> keyDigests = readKeyDigests(section);
        section.reportUnknownNames();
        if (rate.isEmpty() || burst.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Customer(name, rate.get(), burst.get(), weight, keyDigests));
    }

    private Set<KeyDigest> readKeyDigests(TomlSection section) {
        Set<KeyDigest> keyDigests = new LinkedHashSet<>();
        for (TomlSection.Located<KeyDigest> digest : section.list("key-digests", ValueTypes.KEY_DIGEST)) {
            uniqueDigests.add(digest.value().hexadecimal(), digest.position());
            keyDigests.add(digest.value());
        }
        return keyDigests;
    }
}
