package org.geraniumproxy.proxy.transport;

import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.netty.handler.ssl.ClientAuth;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContextBuilder;
import io.grpc.util.AdvancedTlsX509KeyManager;
import io.grpc.util.AdvancedTlsX509TrustManager;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;

/** Certificates and keys that are reloaded when their files change. New handshakes use the reloaded ones. */
public final class TlsMaterial implements AutoCloseable {
    private final AdvancedTlsX509KeyManager keyManager;
    private final AdvancedTlsX509TrustManager trustManager;
    private final List<Runnable> scheduledReloads;

    private TlsMaterial(
            AdvancedTlsX509KeyManager keyManager,
            AdvancedTlsX509TrustManager trustManager,
            List<Runnable> scheduledReloads) {
        this.keyManager = keyManager;
        this.trustManager = trustManager;
        this.scheduledReloads = scheduledReloads;
    }

    /**
     * Loads the files and checks them for changes at a fixed interval.
     *
     * @param files paths of the certificates and the key
     * @param reloadInterval time between two checks of the files
     * @param scheduler runs the checks of the files
     * @return the loaded certificates and keys
     * @throws IOException if a file can't be read
     * @throws GeneralSecurityException if a file contains no valid certificate or key
     */
    public static TlsMaterial load(TlsFiles files, Duration reloadInterval, ScheduledExecutorService scheduler)
            throws IOException, GeneralSecurityException {
        long period = reloadInterval.toMillis();
        AdvancedTlsX509KeyManager keyManager = new AdvancedTlsX509KeyManager();
        AdvancedTlsX509KeyManager.Closeable identityReload = keyManager.updateIdentityCredentials(
                files.certificateChain().toFile(),
                files.privateKey().toFile(),
                period,
                TimeUnit.MILLISECONDS,
                scheduler);
        AdvancedTlsX509TrustManager trustManager =
                AdvancedTlsX509TrustManager.newBuilder().build();
        AdvancedTlsX509TrustManager.Closeable trustReload = trustManager.updateTrustCredentials(
                files.trustedCertificates().toFile(), period, TimeUnit.MILLISECONDS, scheduler);
        return new TlsMaterial(keyManager, trustManager, List.of(identityReload::close, trustReload::close));
    }

    /**
     * Returns the context of outgoing connections.
     *
     * @return a context that presents this process's certificate
     */
    public SslContext clientContext() {
        return build(GrpcSslContexts.forClient().keyManager(keyManager).trustManager(trustManager));
    }

    /**
     * Returns the context of the server for other VMs, which must present a trusted certificate.
     *
     * @return a context that requires client certificates
     */
    public SslContext peerServerContext() {
        return build(serverBuilder().trustManager(trustManager).clientAuth(ClientAuth.REQUIRE));
    }

    /**
     * Returns the context of the server for callers, which authenticate with a customer's key.
     *
     * @return a context without client certificates
     */
    public SslContext callerServerContext() {
        return build(serverBuilder());
    }

    private SslContextBuilder serverBuilder() {
        return GrpcSslContexts.configure(SslContextBuilder.forServer(keyManager));
    }

    private static SslContext build(SslContextBuilder builder) {
        try {
            return builder.build();
        } catch (SSLException e) {
            throw new IllegalStateException("node: failed to create the TLS context", e);
        }
    }

    /** Stops checking the files for changes. */
    @Override
    public void close() {
        scheduledReloads.forEach(Runnable::run);
    }
}
