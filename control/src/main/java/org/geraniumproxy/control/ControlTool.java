package org.geraniumproxy.control;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.geraniumproxy.core.configuration.Configuration;

/** Runs one command line. */
final class ControlTool {
    private final Session.Opener sessions;
    private final InputStream in;
    private final PrintStream out;
    private final PrintStream err;

    ControlTool(Session.Opener sessions, InputStream in, PrintStream out, PrintStream err) {
        this.sessions = sessions;
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
            return ExitCode.WRONG_USAGE;
        }
    }

    private ExitCode run(CommandOptions command, Output output) {
        return switch (command) {
            case CommandOptions.Check check -> check(check, output);
            case CommandOptions.Diff diff ->
                withFile(
                        diff.file(),
                        output,
                        file -> withSession(diff.link(), output, session -> DiffCommand.run(session, output, file)));
            case CommandOptions.Apply apply -> apply(apply, output);
            case CommandOptions.Status status ->
                withSession(status.link(), output, session -> StatusCommand.run(session, output));
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
                file -> withSession(options.link(), output, session -> {
                    String applyIdentifier = UUID.randomUUID().toString();
                    return new ApplyCommand(
                                    session,
                                    output,
                                    file,
                                    options.baseRevision(),
                                    applyIdentifier,
                                    options.longestWait())
                            .run();
                }));
    }

    private static ExitCode withFile(String file, Output output, Function<ConfigurationFile, ExitCode> command) {
        Optional<ConfigurationFile> checked = ConfigurationFile.read(file, output);
        return checked.map(command).orElse(ExitCode.REFUSED);
    }

    private ExitCode withSession(
            LinkOptions options, Output output, Function<Session, CompletableFuture<ExitCode>> command) {
        try (Session session = sessions.open(options)) {
            return command.apply(session).join();
        } catch (CompletionException e) {
            // A fault of the program may hide an apply that took effect, so that the outcome counts as unknown.
            output.show(new Report.Failed("internal error, outcome unknown: " + Failures.describe(e)));
            return ExitCode.UNREACHABLE;
        }
    }
}
