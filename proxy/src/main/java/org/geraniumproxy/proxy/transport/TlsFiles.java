package org.geraniumproxy.proxy.transport;

import java.nio.file.Path;

/**
 * The files of a TLS identity, in PEM format.
 *
 * @param certificateChain certificate of this process and its intermediate certificates
 * @param privateKey private key of the certificate, in PKCS 8
 * @param trustedCertificates certificates of the authorities that peers must be signed by
 */
public record TlsFiles(Path certificateChain, Path privateKey, Path trustedCertificates) {}
