package org.geraniumproxy.proxy.node;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import org.geraniumproxy.settings.Finding;
import org.geraniumproxy.settings.FindingMessages;
import org.geraniumproxy.settings.NodeSettings;
import org.geraniumproxy.settings.NodeSettingsReader;
import org.geraniumproxy.settings.ReadResult;
import org.jboss.logging.Logger;

/** The binary {@code geraniumproxy}: runs one node, or checks its settings. */
public final class ProxyMain {
    static final int SUCCESS = 0;
    static final int REFUSED = 1;
    static final int WRONG_USAGE = 2;

    private static final Logger log = Logger.getLogger(ProxyMain.class);

    private final PrintStream output;
    private final PrintStream errors;

    ProxyMain(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
    }

    /**
     * Runs the command line and exits with 0 (success), 1 (settings refused or start failed) or 2 (wrong usage).
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        int exitCode = new ProxyMain(System.out, System.err).run(arguments);
        System.exit(exitCode);
    }

    int run(String... arguments) {
        NodeCommands.Run run = new NodeCommands.Run();
        NodeCommands.CheckSettings check = new NodeCommands.CheckSettings();
        NodeCommands.Global global = new NodeCommands.Global();
        JCommander commander = JCommander.newBuilder()
                .programName("geraniumproxy")
                .addObject(global)
                .addCommand("run", run)
                .addCommand("check-settings", check)
                .build();
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            errors.println(e.getMessage());
            errors.println("Run geraniumproxy --help for the commands.");
            return WRONG_USAGE;
        }
        if (global.help || commander.getParsedCommand() == null) {
            StringBuilder usage = new StringBuilder();
            commander.getUsageFormatter().usage(usage);
            output.print(usage);
            return global.help ? SUCCESS : WRONG_USAGE;
        }
        try {
            return switch (commander.getParsedCommand()) {
                case "run" -> runNode(run.settings);
                default -> checkSettings(check.settings);
            };
        } catch (IOException e) {
            errors.println("geraniumproxy could not start: " + e.getMessage());
            return REFUSED;
        }
    }

    private int checkSettings(Path file) throws IOException {
        return switch (read(file)) {
            case ReadResult.Accepted<NodeSettings> accepted -> {
                output.println(file + ": settings of " + accepted.value().name() + " are valid");
                yield SUCCESS;
            }
            case ReadResult.Rejected<NodeSettings> rejected -> report(rejected.findings());
        };
    }

    private int runNode(Path file) throws IOException {
        return switch (read(file)) {
            case ReadResult.Accepted<NodeSettings> accepted -> runNode(accepted.value());
            case ReadResult.Rejected<NodeSettings> rejected -> report(rejected.findings());
        };
    }

    private static int runNode(NodeSettings settings) throws IOException {
        Node node = Node.start(settings, Clock.systemUTC());
        Thread stopHook = Thread.ofPlatform().unstarted(() -> node.stop().join());
        Runtime.getRuntime().addShutdownHook(stopHook);
        log.infof("node: %s is started", settings.name());
        node.stopped().join();
        return SUCCESS;
    }

    private static ReadResult<NodeSettings> read(Path file) throws IOException {
        return NodeSettingsReader.read(file.toString(), Files.readString(file));
    }

    private int report(List<Finding> findings) {
        errors.println(FindingMessages.of(findings));
        return REFUSED;
    }
}
