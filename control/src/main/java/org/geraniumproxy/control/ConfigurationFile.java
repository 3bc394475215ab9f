package org.geraniumproxy.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.settings.ConfigurationReader;
import org.geraniumproxy.settings.ReadResult;

/**
 * A valid configuration file.
 *
 * @param toml text of the file
 * @param configuration the parsed text
 */
record ConfigurationFile(String toml, Configuration configuration) {
    /**
     * Reads a file and reports its findings.
     *
     * @param file path of the file
     * @param output receives the findings
     * @return the configuration, or empty if the file has findings
     * @throws UsageException if the file can't be read
     */
    static Optional<ConfigurationFile> read(String file, Output output) {
        String toml = readText(file);
        return switch (ConfigurationReader.read(file, toml)) {
            case ReadResult.Accepted<Configuration>(Configuration configuration) ->
                Optional.of(new ConfigurationFile(toml, configuration));
            case ReadResult.Rejected<Configuration>(var findings) -> {
                output.show(new Report.Rejected(findings));
                yield Optional.empty();
            }
        };
    }

    private static String readText(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new UsageException("file can't be read as UTF-8 text: " + file, e);
        }
    }
}
