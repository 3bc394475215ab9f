package org.geraniumproxy.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import org.geraniumproxy.standin.database.DatabaseSettings;
import org.geraniumproxy.standin.runtime.SingleThreadExecutor;

/** Runs databases, the store and the VM list as stand-ins in one process until it is stopped. */
public final class StandinMain {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_UNREACHABLE = 3;

    private StandinMain() {}

    /**
     * Starts the stand-ins, prints {@code standin: ready} and blocks until the process is stopped. Exits with code 2 if
     * the options are invalid and with code 3 if an address can't be bound.
     *
     * @param arguments the options; {@code --help} lists them
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        StandinOptions options = new StandinOptions();
        JCommander commander = JCommander.newBuilder()
                .programName("standin")
                .addObject(options)
                .build();
        try {
            commander.parse(arguments);
            if (options.help()) {
                commander.usage();
                return;
            }
            start(options);
        } catch (ParameterException | IllegalArgumentException e) {
            System.err.println("standin: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (UncheckedIOException e) {
            System.err.println("standin: " + e.getMessage());
            System.exit(EXIT_UNREACHABLE);
        }
        System.out.println("standin: ready");
        new CountDownLatch(1).await();
    }

    private static void start(StandinOptions options) {
        SingleThreadExecutor executor = SingleThreadExecutor.start("standin", Clock.systemUTC());
        StandinPlatform platform = StandinPlatform.start(new Transport.Tcp(), executor);
        if (!options.vmList().isEmpty()) {
            platform.addVmList(options.vmList(), options.vms(), options.vmListLag());
        }
        if (!options.store().isEmpty()) {
            platform.addStore(options.store());
        }
        DatabaseSettings settings = options.databaseSettings();
        for (String database : options.databases()) {
            int separator = database.indexOf('=');
            if (separator <= 0) {
                throw new ParameterException("--database must be NAME=HOST:PORT, but is: " + database);
            }
            platform.addDatabase(database.substring(0, separator), database.substring(separator + 1), settings);
        }
    }
}
