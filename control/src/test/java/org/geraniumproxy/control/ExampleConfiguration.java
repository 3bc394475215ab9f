package org.geraniumproxy.control;

import java.util.List;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.settings.ConfigurationReader;
import org.geraniumproxy.settings.Finding;
import org.geraniumproxy.settings.FindingMessages;
import org.geraniumproxy.settings.ReadResult;

/** Minimal configurations for tests. */
final class ExampleConfiguration {
    private ExampleConfiguration() {}

    static String withRate(int rate) {
        return """
                format = 1
                [customers.troupes]
                rate = %d
                burst = 5
                """.formatted(rate);
    }

    static Configuration parse(String toml) {
        return switch (ConfigurationReader.read("example.toml", toml)) {
            case ReadResult.Accepted<Configuration>(Configuration configuration) -> configuration;
            case ReadResult.Rejected<Configuration>(List<Finding> findings) ->
                throw new AssertionError(FindingMessages.of(findings));
        };
    }
}
