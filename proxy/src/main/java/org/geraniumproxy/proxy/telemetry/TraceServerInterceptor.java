package org.geraniumproxy.proxy.telemetry;

import io.grpc.ForwardingServerCallListener.SimpleForwardingServerCallListener;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.Scope;
import io.opentelemetry.context.propagation.TextMapPropagator;

/** Continues the trace that the headers of an incoming call name. */
final class TraceServerInterceptor implements ServerInterceptor {
    private final TextMapPropagator propagator;

    TraceServerInterceptor(TextMapPropagator propagator) {
        this.propagator = propagator;
    }

    @Override
    public <Q, R> ServerCall.Listener<Q> interceptCall(
            ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
        Context context = propagator.extract(Context.root(), headers, TraceHeaders.READER);
        try (Scope _ = context.makeCurrent()) {
            return new TracedListener<>(next.startCall(call, headers), context);
        }
    }

    /** Runs the events that start work inside the trace. */
    private static final class TracedListener<Q> extends SimpleForwardingServerCallListener<Q> {
        private final Context context;

        TracedListener(ServerCall.Listener<Q> listener, Context context) {
            super(listener);
            this.context = context;
        }

        @Override
        public void onMessage(Q message) {
            try (Scope _ = context.makeCurrent()) {
                super.onMessage(message);
            }
        }

        @Override
        public void onHalfClose() {
            try (Scope _ = context.makeCurrent()) {
                super.onHalfClose();
            }
        }
    }
}
