package org.geraniumproxy.control;

import io.grpc.Status;
import io.grpc.StatusException;
import io.grpc.StatusRuntimeException;
import java.util.concurrent.CompletionException;

/** Describes failed calls in messages for operators. */
final class CallFailures {
    private CallFailures() {}

    static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    static String describe(Throwable failure) {
        return switch (unwrap(failure)) {
            case StatusRuntimeException e -> describe(e.getStatus());
            case StatusException e -> describe(e.getStatus());
            case Throwable other -> other.getMessage() == null ? other.toString() : other.getMessage();
        };
    }

    private static String describe(Status status) {
        String description = status.getDescription();
        return description == null ? status.getCode().toString() : status.getCode() + ": " + description;
    }
}
