package org.geraniumproxy.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.Manifest;
import org.geraniumproxy.settings.ConfigurationReader;
import org.geraniumproxy.settings.ReadResult;

/**
 * The configuration in force.
 *
 * @param manifest its manifest
 * @param configuration the configuration, or the empty one if it can't be read
 * @param isReadable whether the configuration could be read
 */
record ActiveConfiguration(Manifest manifest, Configuration configuration, boolean isReadable) {
    /**
     * Reads the configuration in force.
     *
     * @param store the store
     * @return the configuration; the future fails if the store does not answer
     */
    static CompletableFuture<ActiveConfiguration> read(ConfigurationStore store) {
        return store.readManifest().thenCompose(stored -> {
            Manifest manifest = stored.manifest();
            if (manifest.equals(Manifest.NONE)) {
                return CompletableFuture.completedFuture(new ActiveConfiguration(manifest, Configuration.EMPTY, true));
            }
            return store.readContent(manifest.contentDigest()).thenApply(content -> parse(manifest, content));
        });
    }

    private static ActiveConfiguration parse(Manifest manifest, Optional<String> content) {
        Optional<Configuration> configuration =
                content.flatMap(toml -> switch (ConfigurationReader.read("revision " + manifest.revision(), toml)) {
                    case ReadResult.Accepted<Configuration>(Configuration value) -> Optional.of(value);
                    case ReadResult.Rejected<Configuration> ignored -> Optional.empty();
                });
        return new ActiveConfiguration(manifest, configuration.orElse(Configuration.EMPTY), configuration.isPresent());
    }

    /** Tells the operator if a difference against this configuration means nothing. */
    void warnIfUnreadable(Output output) {
        if (!isReadable) {
            output.show(new Report.Warning("the content of revision " + manifest.revision()
                    + " can't be read, so that everything is shown as new"));
        }
    }
}
