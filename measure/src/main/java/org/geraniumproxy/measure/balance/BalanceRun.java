package org.geraniumproxy.measure.balance;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Prints how evenly each choice loads the databases of a modelled fleet, for docs/design/load-balancing.md. */
public final class BalanceRun {
    private static final double WINDOW_SECONDS = 10;
    private static final List<Long> SEEDS = List.of(1L, 2L, 3L);

    private BalanceRun() {}

    /**
     * Runs all choices on all fleets.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        Map<String, FleetModel.Load> loads = Map.of(
                "H", FleetModel.H,
                "P", FleetModel.P,
                "small fleet", FleetModel.SMALL_FLEET,
                "H with 3 times the reads", FleetModel.H.withReads(3));
        loads.forEach((name, load) -> {
            for (FleetModel.Choice choice : FleetModel.Choice.values()) {
                System.out.printf(
                        Locale.ROOT,
                        "%s %s busiest to mean %s%n",
                        name,
                        choice,
                        SEEDS.stream()
                                .map(seed -> String.format(
                                        Locale.ROOT, "%.2f", busiestToMean(load, choice, seed, WINDOW_SECONDS)))
                                .toList());
            }
        });
    }

    /** Returns the largest of three windows that follow a first one. */
    static double busiestToMean(FleetModel.Load load, FleetModel.Choice choice, long seed, double windowSeconds) {
        FleetModel model = new FleetModel(load, choice, seed);
        model.run(windowSeconds);
        double busiest = 0;
        for (int window = 0; window < 3; window++) {
            model.run(windowSeconds);
            busiest = Math.max(busiest, model.busiestToMean());
        }
        return busiest;
    }
}
