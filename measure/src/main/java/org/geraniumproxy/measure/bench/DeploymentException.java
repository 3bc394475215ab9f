package org.geraniumproxy.measure.bench;

/** Thrown if a deployment cannot be started or does not reach an expected state in time. */
public final class DeploymentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message description of the failure
     */
    public DeploymentException(String message) {
        super(message);
    }
}
