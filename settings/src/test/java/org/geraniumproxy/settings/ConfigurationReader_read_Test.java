package org.geraniumproxy.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.configuration.Route;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.routing.Access;
import org.junit.jupiter.api.Test;

/** Guards against accepting an invalid configuration and against findings with a wrong position. */
class ConfigurationReader_read_Test {
    private static final String DIGEST = KeyDigest.sha256("demo-key");
    private static final String SERVER = """
            [[groups.ledger.backend-servers]]
            name = "ledger-a"
            address = "127.0.0.1:7101"
            region = "lima"
            failure-domain = "lima-1"
            """;
    private static final String COMPLETE = """
            format = 1
            [customers.public]
            rate = 200
            burst = 50
            [customers.troupes]
            rate = 0.5
            burst = 1
            weight = 2
            key-digests = ["%s"]
            [groups.ledger]
            slots = 2
            connections = 16
            standby-connections = 4
            %s
            [routes.programme]
            groups = ["ledger"]
            access = "read"
            accepted-age = "250ms"
            open-customer = "public"
            """.formatted(DIGEST, SERVER);

    @Test
    void should_read_a_complete_file() {
        // when
        Configuration configuration = readValid(COMPLETE);

        // then
        assertThat(
                configuration
                        .findCustomer(KeyDigest.ofKey("demo-key"))
                        .orElseThrow()
                        .name(),
                equalTo(CustomerName.of("troupes")));
        assertThat(configuration.customers().get(CustomerName.of("public")).ratePerSecond(), equalTo(200.0));
        DatabaseGroup group = configuration.groups().get(GroupName.of("ledger"));
        assertThat(group.backendServers().getFirst().address(), equalTo("127.0.0.1:7101"));
        assertThat(group.standbyConnections(), equalTo(4));
        Route route = configuration.routes().get(RouteName.of("programme"));
        assertThat(route.acceptedAge(), equalTo(Duration.ofMillis(250)));
        assertThat(route.access(), equalTo(Access.READ));
        assertThat(route.openCustomer(), equalTo(Optional.of(CustomerName.of("public"))));
    }

    @Test
    void should_report_out_of_range_numbers() {
        // given
        String text = COMPLETE.replace("rate = 0.5", "rate = 0")
                .replace("burst = 1\n", "burst = 0\n")
                .replace("standby-connections = 4", "standby-connections = 8");

        // then
        assertThat(
                readInvalid(text),
                contains(
                        "f.toml:6:1: \"rate\" is 0; expected a number above 0.0, such as 0.5 or 40.0",
                        "f.toml:7:1: \"burst\" is 0; expected a whole number from 1 to 2147483647",
                        "f.toml:13:1: \"standby-connections\" is 8; expected less than half of the 16 connections, at"
                                + " most 7"));
        assertThat(
                readInvalid(COMPLETE.replace("slots = 2", "slots = 13")),
                contains("f.toml:11:1: \"slots\" is 13; expected at most the 12 connections that are not held by the"
                        + " standby"));
    }

    @Test
    void should_report_references_to_names_that_do_not_exist() {
        // given
        String text = COMPLETE.replace("groups = [\"ledger\"]", "groups = [\"ledger\", \"legder\"]")
                .replace("open-customer = \"public\"", "open-customer = \"publik\"\ncustomers = [\"juries\"]");

        // then
        assertThat(
                readInvalid(text),
                contains(
                        "f.toml:21:21: no group is named \"legder\"; defined names: ledger",
                        "f.toml:24:1: no customer is named \"publik\"; defined names: public, troupes",
                        "f.toml:24:1: \"open-customer\" is \"publik\"; expected one of the customers of the route, or a"
                                + " route without a list of customers",
                        "f.toml:25:14: no customer is named \"juries\"; defined names: public, troupes"));
    }

    @Test
    void should_report_duplicate_values() {
        // given
        String text = COMPLETE.replace("burst = 50", "burst = 50\nkey-digests = [\"" + DIGEST + "\"]") + """
                [groups.second]
                slots = 2
                connections = 16
                standby-connections = 4
                """
                + SERVER.replace("ledger.", "second.");

        // then
        assertThat(
                readInvalid(text),
                contains(
                        "f.toml:10:16: duplicate key digest \"" + DIGEST
                                + "\"; it must be unique and is first used at line 5, column 16",
                        "f.toml:31:1: duplicate backend server \"ledger-a\"; it must be unique and is first used at"
                                + " line 16, column 1",
                        "f.toml:32:1: duplicate backend server address \"127.0.0.1:7101\"; it must be unique and is"
                                + " first used at line 17, column 1"));
    }

    @Test
    void should_report_duplicate_tables_and_continue() {
        // given
        String text = COMPLETE.replace("weight = 2", "weight = 0") + "[customers.public]\nrate = 1\nburst = 1\n";

        // then
        assertThat(
                readInvalid(text),
                contains(
                        "f.toml:8:1: \"weight\" is 0; expected a whole number from 1 to 1000",
                        "f.toml:25:1: duplicate name customers.public; it must be unique and is first used at line 2,"
                                + " column 1"));
    }

    @Test
    void should_not_report_missing_names_after_a_syntax_error() {
        // given
        String text = COMPLETE.replace("[customers.public]", "[customers.public");

        // then
        assertThat(readInvalid(text).size(), equalTo(1));
        assertThat(readInvalid(text).getFirst(), containsString("f.toml:2:18: invalid TOML: "));
    }

    @Test
    void should_not_print_a_key_pasted_in_place_of_its_digest() {
        // when
        List<String> messages = readInvalid(COMPLETE.replace(DIGEST, "secret-key"));

        // then
        assertThat(messages.getFirst(), containsString("\"key-digests\" is a text of 10 characters; expected"));
        assertThat(messages.getFirst(), not(containsString("secret-key")));
    }

    @Test
    void should_report_names_types_and_units() {
        // given
        String text = COMPLETE.replace("format = 1", "format = 2\nformats = 1")
                .replace("250ms", "2 seconds")
                .replace("access = \"read\"", "access = true\nage = \"2s\"")
                .replace("[customers.public]", "[customers.\"the public\"]")
                .replace("connections = 16", "connections = \"16\"");

        // then
        assertThat(
                readInvalid(text).stream()
                        .map(message -> message.substring(0, message.indexOf(';')))
                        .toList(),
                containsInAnyOrder(
                        "f.toml:1:1: \"format\" is 2",
                        "f.toml:2:1: unknown name \"formats\"",
                        "f.toml:3:1: \"a name in customers\" is \"the public\"",
                        "f.toml:13:1: \"connections\" holds a text",
                        "f.toml:23:1: \"access\" holds true or false",
                        "f.toml:24:1: unknown name \"age\"",
                        "f.toml:25:1: \"accepted-age\" has no valid unit: \"2 seconds\"",
                        "f.toml:26:1: no customer is named \"public\""));
    }

    private static Configuration readValid(String text) {
        return switch (ConfigurationReader.read("f.toml", text)) {
            case ReadResult.Accepted<Configuration>(Configuration configuration) -> configuration;
            case ReadResult.Rejected<Configuration>(List<Finding> findings) ->
                throw new AssertionError(FindingMessages.of(findings));
        };
    }

    private static List<String> readInvalid(String text) {
        return switch (ConfigurationReader.read("f.toml", text)) {
            case ReadResult.Accepted<Configuration> accepted -> throw new AssertionError("accepted: " + accepted);
            case ReadResult.Rejected<Configuration>(List<Finding> findings) ->
                findings.stream().map(Finding::message).toList();
        };
    }
}
