package org.geraniumproxy.control;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A parsed command line.
 *
 * @param command options of the command, or empty if the help text was requested
 * @param help help text of the command, or of all commands
 */
record CommandLine(Optional<CommandOptions> command, String help) {
    private static final String EXIT_CODES = """

            Exit codes: 0 success; 1 the file has findings or the change conflicts, and nothing was changed;
            2 wrong usage; 3 the store or a VM was not reached in time, or the outcome is unknown.
            """;

    /**
     * Parses a command line.
     *
     * @param arguments arguments of the process
     * @return the command or the help text
     * @throws UsageException if the command is missing or an argument is invalid
     */
    static CommandLine parse(String... arguments) {
        Map<String, CommandOptions> commands = new LinkedHashMap<>();
        commands.put("check", new CommandOptions.Check());
        commands.put("diff", new CommandOptions.Diff());
        commands.put("apply", new CommandOptions.Apply());
        commands.put("status", new CommandOptions.Status());
        commands.put("keys", new CommandOptions.Keys());
        MainOptions mainOptions = new MainOptions();
        JCommander commander = JCommander.newBuilder()
                .programName("geraniumctl")
                .addObject(mainOptions)
                .build();
        commands.forEach(commander::addCommand);
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            throw new UsageException(e.getMessage() + "; see geraniumctl --help", e);
        }
        StringBuilder help = new StringBuilder();
        String name = commander.getParsedCommand();
        if (mainOptions.help || name == null) {
            if (!mainOptions.help) {
                throw new UsageException("a command is missing; see geraniumctl --help");
            }
            commander.getUsageFormatter().usage(help);
            return new CommandLine(Optional.empty(), help + EXIT_CODES);
        }
        commander.getUsageFormatter().usage(name, help);
        CommandOptions command = commands.get(name);
        return new CommandLine(
                Optional.of(command).filter(options -> !options.output().help()), help + EXIT_CODES);
    }

    /** Options that precede the command. */
    private static final class MainOptions {
        @Parameter(names = "--help", help = true, description = "shows the commands")
        private boolean help;
    }
}
