package org.geraniumproxy.proxy.telemetry;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ForwardingClientCall.SimpleForwardingClientCall;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapPropagator;

/** Writes the trace of the calling thread into the headers of outgoing calls. */
final class TraceClientInterceptor implements ClientInterceptor {
    private final TextMapPropagator propagator;

    TraceClientInterceptor(TextMapPropagator propagator) {
        this.propagator = propagator;
    }

    @Override
    public <Q, R> ClientCall<Q, R> interceptCall(MethodDescriptor<Q, R> method, CallOptions options, Channel next) {
        Context context = Context.current();
        return new SimpleForwardingClientCall<>(next.newCall(method, options)) {
            @Override
            public void start(Listener<R> listener, Metadata headers) {
                propagator.inject(context, headers, TraceHeaders::write);
                super.start(listener, headers);
            }
        };
    }
}
