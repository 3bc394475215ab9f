package org.geraniumproxy.measure.stop;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.geraniumproxy.measure.process.PortAllocator;
import org.geraniumproxy.measure.soak.SeedRange;

/**
 * Command that runs real node processes with seeded faults and reports requests that were cut at stops and other broken
 * promises. The folders of runs with findings are kept.
 */
public final class StopSoakMain {
    private static final int EXIT_FINDING = 1;
    private static final int EXIT_USAGE = 2;

    /** Each run has several JVMs, so more runs at a time would slow each other down. */
    private static final int MAXIMUM_PARALLEL = 2;

    @Parameter(names = "--seeds", description = "seeds to run, for example 1..50", required = true)
    private String seeds = "1..1";

    @Parameter(names = "--seconds", description = "time in which faults begin, in seconds")
    private int seconds = 40;

    @Parameter(names = "--nodes", description = "number of nodes, at least 2")
    private int nodes = 4;

    @Parameter(names = "--parallel", description = "runs at a time, 1 or 2")
    private int parallel = 1;

    @Parameter(names = "--folder", description = "folder for the logs of the nodes")
    private String folder = "target/stop-soak";

    @Parameter(names = "--help", help = true, description = "show this text")
    private boolean help;

    private StopSoakMain() {}

    /**
     * Runs every seed of the range and exits with 1 if any run has a finding, 2 on invalid options.
     *
     * @param arguments command-line options, listed by {@code --help}
     * @throws Exception if a run fails for any reason other than a finding
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(new StopSoakMain().execute(arguments));
    }

    private int execute(String[] arguments) throws Exception {
        JCommander commands =
                JCommander.newBuilder().programName("stop-soak").addObject(this).build();
        try {
            commands.parse(arguments);
            if (help) {
                commands.usage();
                return 0;
            }
            if (seconds < 1 || nodes < 2 || parallel < 1 || parallel > MAXIMUM_PARALLEL) {
                throw new IllegalArgumentException("--seconds, --nodes or --parallel is out of range");
            }
            return run(SeedRange.parse(seeds));
        } catch (ParameterException | IllegalArgumentException e) {
            System.err.println("stop-soak: " + e.getMessage());
            return EXIT_USAGE;
        }
    }

    private int run(SeedRange range) throws Exception {
        PortAllocator ports = new PortAllocator();
        List<StopResult> results = new ArrayList<>();
        try (ExecutorService executor = Executors.newFixedThreadPool(parallel)) {
            List<Future<StopResult>> runs = new ArrayList<>();
            LongStream.rangeClosed(range.first(), range.last()).forEach(seed -> {
                Path runFolder = Path.of(folder).toAbsolutePath().resolve("seed-" + seed);
                runs.add(
                        executor.submit(() -> StopRun.ofSeed(seed, Duration.ofSeconds(seconds), nodes, runFolder, ports)
                                .play()));
            });
            for (Future<StopResult> run : runs) {
                StopResult result = run.get();
                result.lines().forEach(System.out::println);
                results.add(result);
                if (result.findings().isEmpty()) {
                    delete(result.folder());
                }
            }
        }
        System.out.println("stop-soak: " + results.size() + " runs, " + StopResult.summary(results));
        return results.stream().allMatch(result -> result.findings().isEmpty()) ? 0 : EXIT_FINDING;
    }

    private static void delete(Path runFolder) throws IOException {
        try (Stream<Path> files = Files.walk(runFolder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
