package org.geraniumproxy.measure.promotion;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.measure.process.PortAllocator;
import org.geraniumproxy.measure.soak.SeedRange;

/**
 * Command that replaces primaries beside real node processes with seeded faults, and reports acknowledged commits that
 * a promotion lost and the time without commits.
 */
public final class PromotionSoakMain {
    private static final int EXIT_FINDING = 1;
    private static final int EXIT_USAGE = 2;

    /** Bounds of the time without commits in ordinary replacements. */
    private static final Duration MEDIAN_GAP = Duration.ofSeconds(2);

    private static final Duration WORST_GAP = Duration.ofSeconds(12);

    @Parameter(names = "--seeds", description = "seeds to run, for example 1..50", required = true)
    private String seeds = "1..1";

    @Parameter(names = "--scenario", description = "scenario of all runs; without it, the seeds take turns")
    private Scenario.Name scenario;

    @Parameter(names = "--replacements", description = "replacements in a run, at least 1")
    private int replacements = 3;

    @Parameter(names = "--folder", description = "folder for the logs of the nodes")
    private String folder = "target/promotion-soak";

    @Parameter(names = "--help", help = true, description = "show this text")
    private boolean help;

    private PromotionSoakMain() {}

    /**
     * Runs every seed of the range and exits with 1 if any run has a finding, 2 on invalid options.
     *
     * @param arguments command-line options, listed by {@code --help}
     * @throws Exception if a run fails for any reason other than a finding
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(new PromotionSoakMain().execute(arguments));
    }

    private int execute(String[] arguments) throws Exception {
        JCommander commands = JCommander.newBuilder()
                .programName("promotion-soak")
                .addObject(this)
                .build();
        try {
            commands.parse(arguments);
            if (help) {
                commands.usage();
                return 0;
            }
            if (replacements < 1) {
                throw new IllegalArgumentException("--replacements is out of range");
            }
            return run(SeedRange.parse(seeds));
        } catch (ParameterException | IllegalArgumentException e) {
            System.err.println("promotion-soak: " + e.getMessage());
            return EXIT_USAGE;
        }
    }

    private int run(SeedRange range) throws Exception {
        PortAllocator ports = new PortAllocator();
        Scenario.Name[] names = Scenario.Name.values();
        Map<Scenario.Name, List<PromotionResult>> results = new EnumMap<>(Scenario.Name.class);
        for (long seed = range.first(); seed <= range.last(); seed++) {
            Scenario.Name name = scenario == null ? names[Math.floorMod(seed, names.length)] : scenario;
            Path runFolder = Path.of(folder).toAbsolutePath().resolve("seed-" + seed);
            PromotionResult result = new PromotionRun(seed, name, replacements, runFolder, ports).play();
            result.lines().forEach(System.out::println);
            results.computeIfAbsent(name, _ -> new ArrayList<>()).add(result);
        }
        results.forEach((name, runs) -> System.out.println("promotion-soak: " + summary(name, runs)));
        return results.entrySet().stream().allMatch(entry -> isKept(entry.getKey(), entry.getValue()))
                ? 0
                : EXIT_FINDING;
    }

    /** Returns whether no run has a finding and, in ordinary replacements, callers wait no longer than promised. */
    private static boolean isKept(Scenario.Name name, List<PromotionResult> runs) {
        List<Duration> gaps = gaps(runs);
        boolean isSlow = name.isOrdinary()
                && !gaps.isEmpty()
                && (gaps.get(gaps.size() / 2).compareTo(MEDIAN_GAP) >= 0
                        || gaps.getLast().compareTo(WORST_GAP) >= 0);
        if (isSlow) {
            System.out.println("promotion-soak: " + name + " is too slow");
        }
        return !isSlow && runs.stream().allMatch(run -> run.findings().isEmpty());
    }

    private static List<Duration> gaps(List<PromotionResult> runs) {
        return runs.stream().flatMap(run -> run.gaps().stream()).sorted().toList();
    }

    private static String summary(Scenario.Name name, List<PromotionResult> runs) {
        List<Promotion> promotions =
                runs.stream().flatMap(run -> run.promotions().stream()).toList();
        return name + " runs=" + runs.size() + " promotions=" + promotions.size() + " with loss="
                + promotions.stream()
                        .filter(promotion -> !promotion.lost().isEmpty())
                        .count()
                + " commits lost="
                + promotions.stream()
                        .mapToInt(promotion -> promotion.lost().size())
                        .sum()
                + " failures="
                + runs.stream().mapToInt(run -> run.failures().size()).sum() + " gaps="
                + PromotionResult.describe(gaps(runs));
    }
}
