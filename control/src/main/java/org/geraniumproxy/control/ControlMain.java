package org.geraniumproxy.control;

/** Entry point of {@code geraniumctl}. */
public final class ControlMain {
    private ControlMain() {}

    /**
     * Runs one command and ends the process with its exit code: 0 for success, 1 if the file has findings or the change
     * conflicts, 2 for wrong usage, 3 if the store or a VM was not reached in time or the outcome is unknown.
     *
     * @param arguments the command line, explained by {@code --help}
     */
    public static void main(String[] arguments) {
        ControlTool tool = new ControlTool(CommandContext::connectTcp, System.in, System.out, System.err);
        System.exit(tool.run(arguments).code());
    }
}
