package org.geraniumproxy.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against starting a process with misspelled, missing or contradictory settings. */
class NodeSettingsReader_read_Test {
    private static final String COMPLETE = """
            name = "vm-1"
            region = "západ"
            failure-domain = "západ-1"
            caller-address = "127.0.0.1:7001"
            peer-address = "[::1]:7002"
            metrics-address = "127.0.0.1:7003"
            store-address = "127.0.0.1:7000"
            """;

    @Test
    void should_read_every_name_of_a_complete_file() {
        // given
        String text = COMPLETE + """
                vm-list-address = "127.0.0.1:7009"
                drain-timeout = "1m"
                otlp-endpoint = "http://127.0.0.1:4317"
                detection-timeout = "250ms"
                [tls]
                certificate = "vm.pem"
                key = "/keys/vm.key"
                trusted-certificates = "authority.pem"
                """;

        // when
        NodeSettings settings = readValid(text);

        // then
        assertThat(settings.region().value(), equalTo("západ"));
        assertThat(settings.peerAddress().toString(), equalTo("[::1]:7002"));
        assertThat(settings.vmListAddress(), equalTo(HostAndPort.parse("127.0.0.1:7009")));
        assertThat(settings.drainTimeout(), equalTo(Duration.ofMinutes(1)));
        assertThat(settings.detectionTimeout(), equalTo(Optional.of(Duration.ofMillis(250))));
        assertThat(
                settings.security(),
                equalTo(new TransportSecurity.Tls(
                        Path.of("etc/vm.pem"), Path.of("/keys/vm.key"), Path.of("etc/authority.pem"))));
    }

    @Test
    void should_use_plain_text_only_when_configured() {
        assertThat(readValid(COMPLETE + "plain-text = true").security(), instanceOf(TransportSecurity.PlainText.class));
        assertThat(
                readInvalid(COMPLETE),
                contains("etc/node.toml:1:1: \"tls\" is missing; add a table with certificate, key and"
                        + " trusted-certificates, or plain-text = true"));
        assertThat(
                readInvalid(COMPLETE + "plain-text = true\n[tls]\ncertificate='a'\nkey='b'\ntrusted-certificates='c'"),
                contains("etc/node.toml:8:1: \"plain-text\" is true; expected false or no such name, because [tls] is"
                        + " present"));
    }

    @Test
    void should_report_all_findings_with_their_positions() {
        // given
        String text = """
                name = "vm 1"
                region = 3
                failure-domain = "lima-1"
                caller-address = "127.0.0.1"
                peer-addres = "127.0.0.1:7002"
                metrics-address = "127.0.0.1:70030"
                store-address = "127.0.0.1:7000"
                drain-timeout = 30
                plain-text = true
                """;

        // when
        List<String> messages = readInvalid(text);

        // then
        assertThat(
                messages.stream()
                        .map(message -> message.substring(0, message.indexOf(';')))
                        .toList(),
                contains(
                        "etc/node.toml:1:1: \"name\" is \"vm 1\"",
                        "etc/node.toml:1:1: \"peer-address\" is missing",
                        "etc/node.toml:2:1: \"region\" holds a whole number",
                        "etc/node.toml:4:1: \"caller-address\" is \"127.0.0.1\"",
                        "etc/node.toml:5:1: unknown name \"peer-addres\"",
                        "etc/node.toml:6:1: \"metrics-address\" is \"127.0.0.1:70030\"",
                        "etc/node.toml:8:1: \"drain-timeout\" has no valid unit: 30"));
    }

    private static NodeSettings readValid(String text) {
        return switch (NodeSettingsReader.read("etc/node.toml", text)) {
            case ReadResult.Accepted<NodeSettings>(NodeSettings settings) -> settings;
            case ReadResult.Rejected<NodeSettings>(List<Finding> findings) ->
                throw new AssertionError(FindingMessages.of(findings));
        };
    }

    private static List<String> readInvalid(String text) {
        return switch (NodeSettingsReader.read("etc/node.toml", text)) {
            case ReadResult.Accepted<NodeSettings> accepted -> throw new AssertionError("accepted: " + accepted);
            case ReadResult.Rejected<NodeSettings>(List<Finding> findings) ->
                findings.stream().map(Finding::message).toList();
        };
    }
}
