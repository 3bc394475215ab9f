package org.geraniumproxy.measure.bench;

/** The deployment could not be started or did not reach an expected state in time. */
public final class DeploymentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message what happened
     */
    public DeploymentException(String message) {
        super(message);
    }
}
