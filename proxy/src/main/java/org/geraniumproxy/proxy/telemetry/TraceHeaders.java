package org.geraniumproxy.proxy.telemetry;

import io.grpc.Metadata;
import io.opentelemetry.context.propagation.TextMapGetter;

/** Reads and writes the fields of a trace in the headers of a call. */
final class TraceHeaders implements TextMapGetter<Metadata> {
    static final TraceHeaders READER = new TraceHeaders();

    private TraceHeaders() {}

    static void write(Metadata headers, String name, String value) {
        headers.put(key(name), value);
    }

    @Override
    public String get(Metadata headers, String name) {
        return headers == null ? null : headers.get(key(name));
    }

    private static Metadata.Key<String> key(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }
}
