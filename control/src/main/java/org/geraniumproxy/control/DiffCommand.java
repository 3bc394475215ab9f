package org.geraniumproxy.control;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.ConfigurationDifference;

/** Shows the changes between the active configuration and a file. */
final class DiffCommand {
    private DiffCommand() {}

    static CompletableFuture<ExitCode> run(CommandContext context, Output output, ConfigurationFile file) {
        return ActiveConfiguration.read(context.store()).handle((current, failure) -> {
            if (failure != null) {
                output.show(new Report.Failed("the store could not be read: " + CallFailures.describe(failure)));
                return ExitCode.UNREACHABLE;
            }
            current.warnIfUnreadable(output);
            output.show(new Report.Changes(
                    current.manifest().revision(),
                    ConfigurationDifference.between(current.configuration(), file.configuration())));
            return ExitCode.SUCCESS;
        });
    }
}
