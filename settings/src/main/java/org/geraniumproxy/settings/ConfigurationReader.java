package org.geraniumproxy.settings;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.configuration.Route;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;

/**
 * Reads configuration files.
 *
 * <pre>{@code
 * switch (ConfigurationReader.read("festival.toml", text)) {
 *     case ReadResult.Accepted<Configuration>(Configuration configuration) -> use(configuration);
 *     case ReadResult.Rejected<Configuration>(List<Finding> findings) -> print(FindingMessages.of(findings));
 * }
 * }</pre>
 */
public final class ConfigurationReader {
    /** The only supported value of {@code format}. */
    public static final int SUPPORTED_FORMAT = 1;

    /** Maximum size of the file in bytes of UTF-8; the store holds values of at most 1 MB. */
    public static final int MAXIMUM_FILE_BYTES = 1_000_000;

    private static final ValueType<Integer> FORMAT_NUMBER = ValueTypes.integer(SUPPORTED_FORMAT, SUPPORTED_FORMAT);

    private ConfigurationReader() {}

    /**
     * Parses and validates a configuration file.
     *
     * @param file file name that findings report
     * @param text content of the file
     * @return the configuration, or all findings
     */
    public static ReadResult<Configuration> read(String file, String text) {
        return TomlFile.read(file, text, (root, findings) -> {
            checkSize(root, text, findings);
            return read(root, findings);
        });
    }

    private static Optional<Configuration> read(TomlSection root, FindingCollector findings) {
        root.required("format", FORMAT_NUMBER);
        Map<String, TomlSection> customerSections = root.sections("customers");
        Map<String, TomlSection> groupSections = root.sections("groups");
        Map<String, TomlSection> routeSections = root.sections("routes");
        Map<CustomerName, Customer> customers = new CustomersReader(findings).read(customerSections);
        Map<GroupName, DatabaseGroup> groups = new GroupsReader(findings).read(groupSections);
        Map<RouteName, Route> routes =
                new RoutesReader(findings, groupSections.keySet(), customerSections.keySet()).read(routeSections);
        return Optional.of(new Configuration(customers, groups, routes));
    }

    private static void checkSize(TomlSection root, String text, FindingCollector findings) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAXIMUM_FILE_BYTES) {
            findings.add(
                    root.position(),
                    new Problem.WrongValue(
                            "size of the file",
                            bytes + " bytes",
                            "at most " + MAXIMUM_FILE_BYTES + " bytes, the greatest value that the store holds"));
        }
    }
}
