package org.geraniumproxy.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.Manifest;
import org.geraniumproxy.settings.ConfigurationReader;
import org.geraniumproxy.settings.ReadResult;

/**
 * The active configuration in the store.
 *
 * @param manifest its manifest
 * @param configuration the configuration, empty if the content is missing or invalid
 * @param isReadable whether the content was found and is valid
 */
record ActiveConfiguration(Manifest manifest, Configuration configuration, boolean isReadable) {
    /**
     * Reads the active configuration.
     *
     * @param store holds manifest and content
     * @return the configuration; the future fails if the store does not reply or the manifest can't be decoded
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

    /** Warns the operator that a difference against an unreadable configuration shows everything as new. */
    void warnIfUnreadable(Output output) {
        if (!isReadable) {
            output.show(new Report.Warning("the content of revision " + manifest.revision()
                    + " can't be read, so that everything is shown as new"));
        }
    }
}
