package org.geraniumproxy.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;

/**
 * Reads the settings file of a proxy node.
 *
 * <pre>{@code
 * switch (NodeSettingsReader.read("node.toml", text)) {
 *     case ReadResult.Accepted<NodeSettings>(NodeSettings settings) -> start(settings);
 *     case ReadResult.Rejected<NodeSettings>(List<Finding> findings) -> print(FindingMessages.of(findings));
 * }
 * }</pre>
 */
public final class NodeSettingsReader {
    private static final ValueType<Duration> DRAIN_TIMEOUT = ValueTypes.duration(Duration.ZERO, Duration.ofMinutes(10));
    private static final ValueType<Duration> DETECTION_TIMEOUT =
            ValueTypes.duration(Duration.ofMillis(50), Duration.ofMinutes(1));
    private static final ValueType<String> OTLP_ENDPOINT = ValueTypes.parsedText(
            "a URL such as \"http://127.0.0.1:4317\"",
            text -> Optional.of(text).filter(value -> value.matches("https?://\\S+")));

    private NodeSettingsReader() {}

    /**
     * Parses and validates a settings file.
     *
     * @param file file name that findings report; relative paths in the text are resolved against its directory
     * @param text content of the file
     * @return the settings, or all findings
     */
    public static ReadResult<NodeSettings> read(String file, String text) {
        return TomlFile.read(file, text, (root, findings) -> read(Path.of(file), root, findings));
    }

    private static Optional<NodeSettings> read(Path file, TomlSection root, FindingCollector findings) {
        Optional<VmName> name = root.required("name", ValueTypes.name(VmName::of));
        Optional<RegionName> region = root.required("region", ValueTypes.name(RegionName::of));
        Optional<FailureDomain> failureDomain = root.required("failure-domain", ValueTypes.name(FailureDomain::of));
        Optional<HostAndPort> callerAddress = root.required("caller-address", ValueTypes.ADDRESS);
        Optional<HostAndPort> peerAddress = root.required("peer-address", ValueTypes.ADDRESS);
        Optional<HostAndPort> metricsAddress = root.required("metrics-address", ValueTypes.ADDRESS);
        Optional<HostAndPort> storeAddress = root.required("store-address", ValueTypes.ADDRESS);
        Optional<HostAndPort> vmListAddress = root.optional("vm-list-address", ValueTypes.ADDRESS);
        Duration drainTimeout =
                root.optional("drain-timeout", DRAIN_TIMEOUT).orElse(NodeSettings.DEFAULT_DRAIN_TIMEOUT);
        Optional<TransportSecurity> security = readSecurity(file, root, findings);
        Optional<String> otlpEndpoint = root.optional("otlp-endpoint", OTLP_ENDPOINT);
        Optional<Duration> detectionTimeout = root.optional("detection-timeout", DETECTION_TIMEOUT);
        boolean isComplete = name.isPresent()
                && region.isPresent()
                && failureDomain.isPresent()
                && callerAddress.isPresent()
                && peerAddress.isPresent()
                && metricsAddress.isPresent()
                && storeAddress.isPresent()
                && security.isPresent();
        if (!isComplete) {
            return Optional.empty();
        }
        return Optional.of(new NodeSettings(
                name.get(),
                region.get(),
                failureDomain.get(),
                callerAddress.get(),
                peerAddress.get(),
                metricsAddress.get(),
                storeAddress.get(),
                vmListAddress,
                drainTimeout,
                security.get(),
                otlpEndpoint,
                detectionTimeout));
    }

    private static Optional<TransportSecurity> readSecurity(Path file, TomlSection root, FindingCollector findings) {
        boolean plainText = root.optional("plain-text", ValueTypes.BOOLEAN).orElse(false);
        Optional<TomlSection> tls = root.section("tls");
        if (plainText && tls.isPresent()) {
            findings.add(
                    root.positionOf("plain-text"),
                    new Problem.WrongValue("plain-text", "true", "false or no such name, because [tls] is present"));
        }
        if (tls.isPresent()) {
            return readTls(file, tls.get());
        }
        if (!plainText) {
            findings.add(
                    root.position(),
                    new Problem.MissingName(
                            "tls", "a table with certificate, key and trusted-certificates, or plain-text = true"));
        }
        return plainText ? Optional.of(new TransportSecurity.PlainText()) : Optional.empty();
    }

    private static Optional<TransportSecurity> readTls(Path file, TomlSection tls) {
        Optional<Path> certificate = readPath(file, tls, "certificate");
        Optional<Path> key = readPath(file, tls, "key");
        Optional<Path> trustedCertificates = readPath(file, tls, "trusted-certificates");
        tls.reportUnknownNames();
        if (certificate.isEmpty() || key.isEmpty() || trustedCertificates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new TransportSecurity.Tls(certificate.get(), key.get(), trustedCertificates.get()));
    }

    private static Optional<Path> readPath(Path file, TomlSection tls, String name) {
        return tls.required(name, ValueTypes.TEXT).map(text -> file.resolveSibling(text));
    }
}
