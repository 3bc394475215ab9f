package org.geraniumproxy.settings;

import java.nio.file.Path;

/** Transport security of the gRPC connections of a process. */
public sealed interface TransportSecurity {
    /** No encryption or authentication. Used only if the settings request it explicitly. */
    record PlainText() implements TransportSecurity {}

    /**
     * Mutual TLS.
     *
     * @param certificate PEM file with the certificate chain of the process
     * @param key PEM file with the private key of the certificate
     * @param trustedCertificates PEM file with the CA certificates that peer certificates are verified against
     */
    record Tls(Path certificate, Path key, Path trustedCertificates) implements TransportSecurity {}
}
