package org.geraniumproxy.proxy.transport;

import java.nio.file.Path;

/**
 * Files of a TLS identity and the certificates it trusts, in PEM format.
 *
 * @param certificateChain certificate of this process, followed by its intermediate certificates
 * @param privateKey private key of the certificate, in PKCS #8 format
 * @param trustedCertificates certificates of the authorities that may sign the certificates of peers
 */
public record TlsFiles(Path certificateChain, Path privateKey, Path trustedCertificates) {}
