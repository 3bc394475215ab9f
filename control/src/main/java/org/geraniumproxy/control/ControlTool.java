package org.geraniumproxy.control;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.geraniumproxy.core.configuration.Configuration;

/** Parses a command line and runs its command. */
final class ControlTool {
    private final CommandContext.Factory contextFactory;
    private final InputStream in;
    private final PrintStream out;
    private final PrintStream err;

    ControlTool(CommandContext.Factory contextFactory, InputStream in, PrintStream out, PrintStream err) {
        this.contextFactory = contextFactory;
        this.in = in;
        this.out = out;
        this.err = err;
    }

    ExitCode run(String... arguments) {
        Output output = new Output.Text(out, err);
        try {
            CommandLine line = CommandLine.parse(arguments);
            if (line.command().isEmpty()) {
                out.print(line.help());
                return ExitCode.SUCCESS;
            }
            output = line.command().get().output().output(out, err);
            return run(line.command().get(), output);
        } catch (UsageException e) {
            output.show(new Report.Failed(e.getMessage()));
            return ExitCode.USAGE_ERROR;
        }
    }

    private ExitCode run(CommandOptions command, Output output) {
        return switch (command) {
            case CommandOptions.Check check -> check(check, output);
            case CommandOptions.Diff diff ->
                withFile(
                        diff.file(),
                        output,
                        file -> withContext(
                                diff.connection(), output, context -> DiffCommand.run(context, output, file)));
            case CommandOptions.Apply apply -> apply(apply, output);
            case CommandOptions.Status status ->
                withContext(status.connection(), output, context -> StatusCommand.run(context, output));
            case CommandOptions.Keys keys -> KeysCommand.run(keys.action(), in, output);
        };
    }

    private ExitCode check(CommandOptions.Check check, Output output) {
        return withFile(check.file(), output, file -> {
            Configuration configuration = file.configuration();
            output.show(new Report.Checked(
                    check.file(),
                    configuration.customers().size(),
                    configuration.groups().size(),
                    configuration.routes().size()));
            return ExitCode.SUCCESS;
        });
    }

    private ExitCode apply(CommandOptions.Apply options, Output output) {
        if (options.baseRevision() < 0) {
            throw new UsageException("--base-revision must be 0 or more, but is: " + options.baseRevision());
        }
        return withFile(
                options.file(),
                output,
                file -> withContext(options.connection(), output, context -> {
                    String applyIdentifier = UUID.randomUUID().toString();
                    return new ApplyCommand(
                                    context,
                                    output,
                                    file,
                                    options.baseRevision(),
                                    applyIdentifier,
                                    options.rolloutTimeout())
                            .run();
                }));
    }

    private static ExitCode withFile(String file, Output output, Function<ConfigurationFile, ExitCode> command) {
        Optional<ConfigurationFile> checked = ConfigurationFile.read(file, output);
        return checked.map(command).orElse(ExitCode.REFUSED);
    }

    private ExitCode withContext(
            ConnectionOptions options, Output output, Function<CommandContext, CompletableFuture<ExitCode>> command) {
        try (CommandContext context = contextFactory.open(options)) {
            return command.apply(context).join();
        } catch (CompletionException e) {
            // The error may have occurred after an apply took effect, so the outcome is unknown.
            output.show(new Report.Failed("internal error, outcome unknown: " + CallFailures.describe(e)));
            return ExitCode.UNREACHABLE;
        }
    }
}
