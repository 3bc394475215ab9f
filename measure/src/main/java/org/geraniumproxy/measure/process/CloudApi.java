package org.geraniumproxy.measure.process;

/** Answers requests to promote a database. May take as long as a late platform does. */
@FunctionalInterface
public interface CloudApi {
    /**
     * Handles a request.
     *
     * @param service name of the service
     * @param database identifier of the database to promote
     * @param holder name of the node that holds the duty
     * @param fencingToken number that increases with the holders of the duty
     * @return HTTP status of the answer: 200, or 409 if the request is refused
     * @throws InterruptedException if the thread was interrupted before the request was handled
     */
    int requestPromotion(String service, String database, String holder, long fencingToken) throws InterruptedException;
}
