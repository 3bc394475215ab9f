package org.geraniumproxy.measure.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumproxy.settings.ConfigurationReader;
import org.geraniumproxy.settings.NodeSettingsReader;
import org.geraniumproxy.settings.ReadResult;
import org.junit.jupiter.api.Test;

/** Guards against generated files that the proxies reject at startup. */
final class DeploymentFiles_write_Test {
    @Test
    void should_generate_files_without_findings() {
        Stream.of(Deployment.festival(), Deployment.weed()).forEach(deployment -> {
            // given
            Addresses addresses = Addresses.allocate(deployment);
            Map<String, String> keys = deployment.customers().stream()
                    .collect(Collectors.toMap(Deployment.CustomerProfile::name, Deployment.CustomerProfile::name));
            // when
            String configuration = DeploymentFiles.configuration(deployment, addresses, keys);
            String settings = DeploymentFiles.settings(deployment, addresses, 3, Optional.of(Duration.ofSeconds(2)));
            // then
            assertThat(
                    ConfigurationReader.read("configuration.toml", configuration),
                    instanceOf(ReadResult.Accepted.class));
            assertThat(NodeSettingsReader.read("vm-4.toml", settings), instanceOf(ReadResult.Accepted.class));
        });
    }
}
