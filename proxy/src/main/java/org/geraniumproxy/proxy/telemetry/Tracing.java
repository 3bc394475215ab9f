package org.geraniumproxy.proxy.telemetry;

import io.grpc.ClientInterceptor;
import io.grpc.ServerInterceptor;
import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.Scope;
import io.opentelemetry.context.propagation.ContextPropagators;
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.concurrent.ExecutorService;
import java.util.function.Supplier;
import org.geraniumproxy.core.identity.VmName;

/** Traces requests. Spans name the hop and nothing of the request: no key, token or statement text. */
public final class Tracing implements AutoCloseable {
    private static final String SCOPE = "org.geraniumproxy";

    private final OpenTelemetry openTelemetry;
    private final Runnable shutdown;
    private final Tracer tracer;

    private Tracing(OpenTelemetry openTelemetry, Runnable shutdown) {
        this.openTelemetry = openTelemetry;
        this.shutdown = shutdown;
        this.tracer = openTelemetry.getTracer(SCOPE);
    }

    /**
     * Returns tracing that records nothing.
     *
     * @return the tracing
     */
    public static Tracing disabled() {
        return of(OpenTelemetry.noop());
    }

    /**
     * Returns tracing over a given implementation, which the caller closes.
     *
     * @param openTelemetry the implementation
     * @return the tracing
     */
    public static Tracing of(OpenTelemetry openTelemetry) {
        return new Tracing(openTelemetry, () -> {});
    }

    /**
     * Returns tracing that exports spans by OTLP over gRPC.
     *
     * @param endpoint address of the collector, such as {@code http://127.0.0.1:4317}
     * @param sampledShare share of the traces without a caller's own decision that are exported, from 0 to 1
     * @param vm the VM of this process
     * @return the tracing
     */
    public static Tracing exporting(String endpoint, double sampledShare, VmName vm) {
        OtlpGrpcSpanExporter exporter =
                OtlpGrpcSpanExporter.builder().setEndpoint(endpoint).build();
        Attributes attributes = Attributes.of(
                AttributeKey.stringKey("service.name"),
                "geraniumproxy",
                AttributeKey.stringKey("service.instance.id"),
                vm.value());
        SdkTracerProvider provider = SdkTracerProvider.builder()
                .setResource(Resource.getDefault().merge(Resource.create(attributes)))
                .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(sampledShare)))
                .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
                .build();
        OpenTelemetrySdk sdk = OpenTelemetrySdk.builder()
                .setTracerProvider(provider)
                .setPropagators(ContextPropagators.create(W3CTraceContextPropagator.getInstance()))
                .build();
        return new Tracing(sdk, sdk::close);
    }

    /**
     * Runs work inside a span whose parent is the span of the calling thread.
     *
     * @param hop the hop that the work belongs to
     * @param work the work
     * @param <T> type of its result
     * @return the result
     */
    public <T> T inSpan(Hop hop, Supplier<T> work) {
        Span span = tracer.spanBuilder(hop.spanName()).startSpan();
        try (Scope _ = span.makeCurrent()) {
            return work.get();
        } catch (RuntimeException e) {
            // The message of the error may quote the request, so only the fact is recorded.
            span.setStatus(StatusCode.ERROR);
            throw e;
        } finally {
            span.end();
        }
    }

    /**
     * Returns an executor whose tasks run in the trace of the thread that submits them.
     *
     * @param executor the executor that runs the tasks
     * @return the wrapping executor
     */
    public static ExecutorService carrying(ExecutorService executor) {
        return Context.taskWrapping(executor);
    }

    /**
     * Returns the interceptor that sends the trace along with outgoing calls.
     *
     * @return the interceptor
     */
    public ClientInterceptor clientInterceptor() {
        return new TraceClientInterceptor(openTelemetry.getPropagators().getTextMapPropagator());
    }

    /**
     * Returns the interceptor that continues the trace of incoming calls.
     *
     * @return the interceptor
     */
    public ServerInterceptor serverInterceptor() {
        return new TraceServerInterceptor(openTelemetry.getPropagators().getTextMapPropagator());
    }

    /** Exports what is left and stops. */
    @Override
    public void close() {
        shutdown.run();
    }
}
