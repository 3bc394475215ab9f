package org.geraniumproxy.measure.soak;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.limit.LimitTiming;
import org.geraniumproxy.measure.limit.LimitResult;
import org.geraniumproxy.measure.limit.LimitRun;
import org.geraniumproxy.measure.limit.LimitScenario;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;

/**
 * Command that runs randomized fault-injection tests of the rate limit and reports exceeded limits and violated
 * invariants.
 */
public final class SoakMain {
    private static final int EXIT_VIOLATION = 1;
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--seeds", description = "seeds to run, for example 1..200", required = true)
    private String seeds = "1..1";

    @Parameter(names = "--deployment", description = "festival or weed")
    private String deployment = "festival";

    @Parameter(names = "--help", help = true, description = "show this text")
    private boolean help;

    private SoakMain() {}

    /**
     * Runs every seed of the range and exits with 1 if any of them shows a violation, 2 on invalid options.
     *
     * @param arguments command-line options, listed by {@code --help}
     * @throws Exception if a run fails for any reason other than a violated invariant
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(new SoakMain().execute(arguments));
    }

    private int execute(String[] arguments) throws Exception {
        JCommander commands =
                JCommander.newBuilder().programName("soak").addObject(this).build();
        try {
            commands.parse(arguments);
            if (help) {
                commands.usage();
                return 0;
            }
            return run(SeedRange.parse(seeds), SimulatedDeployment.byName(deployment));
        } catch (ParameterException | IllegalArgumentException e) {
            System.err.println("soak: " + e.getMessage());
            return EXIT_USAGE;
        }
    }

    private static int run(SeedRange range, SimulatedDeployment deployment) throws Exception {
        // Uses at most half of the cores, so that other work on the machine can proceed.
        int threads = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
        long violations = 0;
        try (ExecutorService executor = Executors.newFixedThreadPool(threads)) {
            List<Future<Optional<String>>> runs = new ArrayList<>();
            LongStream.rangeClosed(range.first(), range.last())
                    .forEach(seed -> runs.add(executor.submit(() -> findViolation(seed, deployment))));
            for (Future<Optional<String>> run : runs) {
                Optional<String> violation = run.get();
                violation.ifPresent(System.out::println);
                violations += violation.isPresent() ? 1 : 0;
            }
        }
        System.out.println("soak: " + (range.last() - range.first() + 1) + " runs on simulated time, " + violations
                + " with a broken limit or invariant");
        return violations == 0 ? 0 : EXIT_VIOLATION;
    }

    private static Optional<String> findViolation(long seed, SimulatedDeployment deployment) {
        try {
            LimitResult result = LimitRun.run(LimitScenario.withFaults(deployment, seed, LimitTiming.STANDARD));
            return result.maximumOverrun() == 0
                    ? Optional.empty()
                    : Optional.of("seed " + seed + ": " + result.maximumOverrun() + " tokens over rate and burst");
        } catch (InvariantViolation e) {
            return Optional.of("seed " + seed + ": " + e.getMessage());
        }
    }
}
