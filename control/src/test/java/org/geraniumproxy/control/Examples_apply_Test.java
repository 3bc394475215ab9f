package org.geraniumproxy.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.configuration.Route;
import org.geraniumproxy.settings.NodeSettingsReader;
import org.geraniumproxy.settings.ReadResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against example files that no longer match the file format, the documented keys or the documented sizes. */
@Timeout(60)
class Examples_apply_Test {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @Test
    void should_apply_the_file_of_the_festival_house() throws IOException {
        Configuration configuration = apply("festival.toml");
        assertSizes(configuration, 2, 16);
        assertThat(regions(configuration), equalTo(Set.of("lima", "cusco", "arequipa")));
    }

    @Test
    void should_apply_the_file_of_the_weed_unit() throws IOException {
        Configuration configuration = apply("weed.toml");
        assertSizes(configuration, 5, 60);
        assertThat(regions(configuration), equalTo(Set.of("západ", "stred", "východ")));
    }

    @Test
    void should_read_the_settings_of_a_node() throws IOException {
        String file = EXAMPLES.resolve("node.toml").toString();
        assertThat(
                NodeSettingsReader.read(file, Files.readString(Path.of(file))), instanceOf(ReadResult.Accepted.class));
    }

    private static Configuration apply(String name) throws IOException {
        String toml = Files.readString(EXAMPLES.resolve(name));
        try (ControlTestEnvironment environment = ControlTestEnvironment.start()) {
            ExitCode result =
                    environment.apply(toml, 0, "example", Duration.ZERO).join();
            assertThat(result, is(ExitCode.SUCCESS));
            assertThat(environment.text(), containsString("accepted as revision 1, apply example"));
        }
        return ExampleConfiguration.parse(toml);
    }

    private static void assertSizes(Configuration configuration, int slots, int connections) {
        assertThat(configuration.customers().size(), equalTo(8));
        for (Customer customer : configuration.customers().values()) {
            assertThat(customer.keyDigests(), equalTo(Set.of(KeyDigest.ofKey("demo-key-" + customer.name()))));
        }
        assertThat(configuration.groups().size(), equalTo(3));
        for (DatabaseGroup group : configuration.groups().values()) {
            assertThat(group.backendServers().size(), equalTo(3));
            assertThat(group.slots(), equalTo(slots));
            assertThat(group.connections(), equalTo(connections));
        }
        boolean hasOpenRouteWithAge = configuration.routes().values().stream()
                .filter(route -> route.openCustomer().isPresent())
                .map(Route::acceptedAge)
                .anyMatch(Duration::isPositive);
        assertThat("has a route that allows requests without a key and stale reads", hasOpenRouteWithAge, is(true));
    }

    private static Set<String> regions(Configuration configuration) {
        return configuration.groups().values().stream()
                .flatMap(group -> group.backendServers().stream())
                .map(server -> server.region().value())
                .collect(Collectors.toUnmodifiableSet());
    }
}
