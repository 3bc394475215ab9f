package org.geraniumproxy.proxy.control;

import org.geraniumproxy.core.configuration.Configuration;

/** Reads a configuration that has already been checked by the operators' tool. */
@FunctionalInterface
public interface ConfigurationParser {
    /**
     * Reads a configuration.
     *
     * @param text the TOML text
     * @return the configuration
     * @throws IllegalArgumentException if the text is not a valid configuration
     */
    Configuration parse(String text);
}
