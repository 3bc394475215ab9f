package org.geraniumproxy.settings;

import java.nio.file.Path;

/** How the gRPC links of a process are protected. */
public sealed interface TransportSecurity {
    /** No protection. A process uses it only where its settings say so. */
    record PlainText() implements TransportSecurity {}

    /**
     * TLS with a certificate on both sides.
     *
     * @param certificate PEM file with the certificate chain of the process
     * @param key PEM file with the private key of the certificate
     * @param trustedCertificates PEM file with the certificates that the other side may be signed by
     */
    record Tls(Path certificate, Path key, Path trustedCertificates) implements TransportSecurity {}
}
