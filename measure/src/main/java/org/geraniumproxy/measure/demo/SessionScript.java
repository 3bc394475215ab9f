package org.geraniumproxy.measure.demo;

import java.time.Duration;
import java.util.List;
import org.geraniumproxy.measure.bench.Deployment;
import org.geraniumproxy.measure.load.Operation;
import org.geraniumproxy.measure.load.RequestOptions;

/** Sequence of requests of a session. */
sealed interface SessionScript {
    /** Same as the accepted age of the public route. */
    Duration PUBLIC_READ_ACCEPTED_AGE = Duration.ofSeconds(2);

    /** Number of requests after which a registrar repeats its sequence with the next record. */
    int REGISTRAR_CYCLE_LENGTH = 6;

    /**
     * One request of a script.
     *
     * @param operation operation to run
     * @param options route and timeouts
     */
    record Step(Operation operation, RequestOptions options) {}

    /**
     * Registers, pays and reads its own writes.
     *
     * @param routes names of the routes
     * @param session name of the session
     */
    record Registrar(Deployment.RouteNames routes, String session) implements SessionScript {}

    /**
     * Reads public data without a key.
     *
     * @param routes names of the routes
     * @param session name of the session
     */
    record PublicReader(Deployment.RouteNames routes, String session) implements SessionScript {}

    /**
     * Reads its own record repeatedly.
     *
     * @param routes names of the routes
     * @param session name of the session
     */
    record OwnReader(Deployment.RouteNames routes, String session) implements SessionScript {}

    /**
     * Returns one request of the script.
     *
     * @param number position in the script, from zero
     * @return the request
     */
    default Step step(long number) {
        return switch (this) {
            case Registrar registrar -> registrarStep(registrar, number);
            case PublicReader reader ->
                new Step(
                        new Operation.CountKeys("record/"),
                        RequestOptions.of(reader.routes().view(), reader.session() + number)
                                .withAcceptedAge(PUBLIC_READ_ACCEPTED_AGE));
            case OwnReader reader ->
                new Step(
                        new Operation.ReadOwn("record/" + reader.session()),
                        RequestOptions.of(reader.routes().register(), reader.session()));
        };
    }

    private static Step registrarStep(Registrar registrar, long number) {
        String session = registrar.session();
        long cycle = number / REGISTRAR_CYCLE_LENGTH;
        RequestOptions register = RequestOptions.of(registrar.routes().register(), session);
        RequestOptions pay = RequestOptions.of(registrar.routes().pay(), session);
        return switch ((int) (number % REGISTRAR_CYCLE_LENGTH)) {
            case 0 -> new Step(new Operation.PutNext("record/" + session, cycle + 1), register);
            case 2 -> new Step(new Operation.AddOnce("payment/" + session + "/" + cycle), pay);
            case 4 ->
                new Step(
                        new Operation.AddInTransaction(
                                List.of("fee/" + session + "/" + cycle, "receipt/" + session + "/" + cycle)),
                        pay);
            default -> new Step(new Operation.ReadOwn("record/" + session), register);
        };
    }
}
