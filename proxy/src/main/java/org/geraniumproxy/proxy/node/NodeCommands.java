package org.geraniumproxy.proxy.node;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import java.nio.file.Path;

/** Command line of the binary {@code geraniumproxy}. */
final class NodeCommands {
    private NodeCommands() {}

    /** Options of all commands. */
    static final class Global {
        @Parameter(names = "--help", help = true, description = "Shows the commands")
        boolean help;
    }

    /** Runs a node. */
    @Parameters(commandDescription = "Runs one node until it is stopped by SIGTERM")
    static final class Run {
        @Parameter(
                names = "--settings",
                required = true,
                converter = PathConverter.class,
                description = "TOML file with the settings of the node")
        Path settings;
    }

    /** Checks the settings of a node. */
    @Parameters(commandDescription = "Checks the settings of a node and reports every finding")
    static final class CheckSettings {
        @Parameter(
                names = "--settings",
                required = true,
                converter = PathConverter.class,
                description = "TOML file with the settings of the node")
        Path settings;
    }
}
