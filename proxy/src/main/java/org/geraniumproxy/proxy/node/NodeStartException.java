package org.geraniumproxy.proxy.node;

/** A node can't be started with its settings. */
public final class NodeStartException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    NodeStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
