package org.geraniumproxy.proxy.peer;

import io.grpc.Attributes;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;

/**
 * Notes whether a call may have left this process. The library creates the stream on a connected transport before it
 * hands anything to it, and never starts a stream on a transport after the call has ended. A call that ends without one
 * was not sent.
 */
final class DepartureTracer extends ClientStreamTracer.Factory {
    private volatile boolean mayHaveLeft;

    boolean mayHaveLeft() {
        return mayHaveLeft;
    }

    @Override
    public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
        return new ClientStreamTracer() {
            @Override
            public void streamCreated(Attributes transportAttributes, Metadata sentHeaders) {
                mayHaveLeft = true;
            }
        };
    }
}
