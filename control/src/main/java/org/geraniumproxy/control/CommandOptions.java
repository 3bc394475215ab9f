package org.geraniumproxy.control;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.time.Duration;

/** Options of one command. JCommander sets the fields while it parses; they don't change afterwards. */
sealed interface CommandOptions {
    OutputOptions output();

    /** Options of {@code check}. */
    @Parameters(commandDescription = "checks a configuration file and reports all findings")
    final class Check implements CommandOptions {
        @Parameter(description = "FILE", required = true)
        private String file = "";

        @ParametersDelegate
        private OutputOptions output = new OutputOptions();

        String file() {
            return file;
        }

        @Override
        public OutputOptions output() {
            return output;
        }
    }

    /** Options of {@code diff}. */
    @Parameters(commandDescription = "shows what a configuration file changes against the one in force")
    final class Diff implements CommandOptions {
        @Parameter(description = "FILE", required = true)
        private String file = "";

        @ParametersDelegate
        private ConnectionOptions connection = new ConnectionOptions();

        @ParametersDelegate
        private OutputOptions output = new OutputOptions();

        String file() {
            return file;
        }

        ConnectionOptions connection() {
            return connection;
        }

        @Override
        public OutputOptions output() {
            return output;
        }
    }

    /** Options of {@code apply}. */
    @Parameters(commandDescription = "puts a configuration file in force and waits until every live VM uses it")
    final class Apply implements CommandOptions {
        @Parameter(description = "FILE", required = true)
        private String file = "";

        @Parameter(
                names = "--base-revision",
                required = true,
                description = "revision that the change is based on, 0 for the first configuration")
        private long baseRevision;

        @Parameter(
                names = "--wait",
                converter = DurationConverter.class,
                description = "longest wait until the revision is in force, 0s for none")
        private Duration rolloutTimeout = Duration.ofSeconds(10);

        @ParametersDelegate
        private ConnectionOptions connection = new ConnectionOptions();

        @ParametersDelegate
        private OutputOptions output = new OutputOptions();

        String file() {
            return file;
        }

        long baseRevision() {
            return baseRevision;
        }

        Duration rolloutTimeout() {
            return rolloutTimeout;
        }

        ConnectionOptions connection() {
            return connection;
        }

        @Override
        public OutputOptions output() {
            return output;
        }
    }

    /** Options of {@code status}. */
    @Parameters(commandDescription = "shows the revision in force, the roster and what each VM answers")
    final class Status implements CommandOptions {
        @ParametersDelegate
        private ConnectionOptions connection = new ConnectionOptions();

        @ParametersDelegate
        private OutputOptions output = new OutputOptions();

        ConnectionOptions connection() {
            return connection;
        }

        @Override
        public OutputOptions output() {
            return output;
        }
    }

    /** Options of {@code keys}. */
    @Parameters(
            commandDescription = "create: prints a new key once with its digest; digest: prints the digest of a key"
                    + " that is read from standard input")
    final class Keys implements CommandOptions {
        @Parameter(description = "create|digest", required = true)
        private String action = "";

        @ParametersDelegate
        private OutputOptions output = new OutputOptions();

        String action() {
            return action;
        }

        @Override
        public OutputOptions output() {
            return output;
        }
    }
}
