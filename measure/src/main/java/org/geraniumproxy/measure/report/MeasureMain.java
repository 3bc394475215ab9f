package org.geraniumproxy.measure.report;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.geraniumproxy.measure.bench.Deployment;
import org.geraniumproxy.measure.bench.DeploymentException;
import org.geraniumproxy.measure.figures.PartReport;

/** Command that compares the policies of the proxy with their baselines. */
public final class MeasureMain {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_START_FAILED = 3;

    @Parameter(names = "--deployment", description = "festival|weed", required = true)
    private String deployment = "";

    @Parameter(names = "--seed", description = "seed of the run")
    private long seed = 1;

    @Parameter(names = "--format", description = "text|json")
    private String format = "text";

    @Parameter(names = "--part", description = "limits|fairness|reads|failover|all; may be repeated")
    private List<String> parts = new ArrayList<>(List.of("all"));

    @Parameter(names = "--help", help = true, description = "shows the options")
    private boolean help;

    private MeasureMain() {}

    /**
     * Runs the selected parts and prints one report. Exits with 2 on invalid options and 3 if a deployment did not
     * start.
     *
     * @param arguments command-line options, listed by {@code --help}
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        MeasureMain measure = new MeasureMain();
        JCommander commander = JCommander.newBuilder()
                .programName("measure")
                .addObject(measure)
                .build();
        try {
            commander.parse(arguments);
            if (measure.help) {
                commander.usage();
                return;
            }
            System.out.print(measure.run());
        } catch (ParameterException e) {
            System.err.println("measure: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (DeploymentException e) {
            System.err.println("measure: " + e.getMessage());
            System.exit(EXIT_START_FAILED);
        }
    }

    private String run() throws InterruptedException {
        Deployment selectedDeployment = Deployment.findByName(deployment)
                .orElseThrow(() -> new ParameterException("--deployment must be festival or weed"));
        ReportFormat reportFormat = parseFormat(format);
        List<MeasurementPart> selectedParts = new ArrayList<>();
        for (String part : parts) {
            if (part.equals("all")) {
                selectedParts.addAll(MeasurementPart.all());
            } else {
                selectedParts.add(MeasurementPart.findByName(part)
                        .orElseThrow(() -> new ParameterException("unknown value of --part: " + part)));
            }
        }
        List<PartReport> reports = new ArrayList<>();
        for (MeasurementPart part : selectedParts) {
            reports.add(part.run(selectedDeployment, seed));
        }
        return reportFormat.write(selectedDeployment.name(), seed, reports);
    }

    private static ReportFormat parseFormat(String text) {
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "text" -> ReportFormat.TEXT;
            case "json" -> ReportFormat.JSON;
            default -> throw new ParameterException("--format must be text or json");
        };
    }
}
