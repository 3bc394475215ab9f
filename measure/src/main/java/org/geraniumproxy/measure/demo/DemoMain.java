package org.geraniumproxy.measure.demo;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.measure.bench.Deployment;
import org.geraniumproxy.measure.bench.DeploymentException;
import org.geraniumproxy.measure.bench.RunningDeployment;

/** Command that runs the demo of a deployment. */
public final class DemoMain {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_START_FAILED = 3;

    @Parameter(description = "festival|weed", required = true)
    private List<String> names = new ArrayList<>();

    @Parameter(names = "--keep-files", description = "keeps settings, configuration and logs, and prints their folder")
    private boolean keepFiles;

    @Parameter(names = "--help", help = true, description = "shows the options")
    private boolean help;

    private DemoMain() {}

    /**
     * Runs the demo. Exits with 0 if it showed no fault, 1 if it did, 2 on invalid options and 3 if the deployment did
     * not start.
     *
     * @param arguments {@code festival} or {@code weed}
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        DemoMain demo = new DemoMain();
        JCommander commander =
                JCommander.newBuilder().programName("demo").addObject(demo).build();
        Optional<Deployment> deployment;
        try {
            commander.parse(arguments);
            deployment = demo.names.size() == 1 ? Deployment.findByName(demo.names.getFirst()) : Optional.empty();
        } catch (ParameterException e) {
            deployment = Optional.empty();
        }
        if (demo.help || deployment.isEmpty()) {
            commander.usage();
            System.exit(demo.help ? 0 : EXIT_USAGE);
        }
        System.exit(demo.run(deployment.orElseThrow()));
    }

    private int run(Deployment deployment) throws InterruptedException {
        System.out.println("demo: starting stand-ins and " + Deployment.VM_COUNT + " proxies on loopback");
        try (RunningDeployment running = RunningDeployment.start(deployment, Optional.empty())) {
            if (keepFiles) {
                System.out.println("demo: files are in " + running.keepFiles());
            }
            System.out.println("demo: running the load; a primary will be isolated");
            DemoResult result = new DemoRun(running, Clock.systemUTC()).run();
            System.out.print(result.toText());
            return result.isSuccessful() ? 0 : EXIT_FAILED;
        } catch (DeploymentException e) {
            System.err.println("demo: " + e.getMessage());
            return EXIT_START_FAILED;
        }
    }
}
