package org.geraniumproxy.control;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.time.Duration;
import org.geraniumproxy.settings.HostAndPort;
import org.geraniumproxy.settings.TransportSecurity;

/** Options of the commands that connect to the store and the VMs. */
final class ConnectionOptions {
    @Parameter(names = "--store", required = true, description = "HOST:PORT of the platform's store")
    private String store = "";

    @Parameter(names = "--plain-text", description = "use no TLS; for test set-ups only")
    private boolean plainText;

    @Parameter(names = "--certificate", description = "PEM file with the operator's certificate")
    private String certificate = "";

    @Parameter(names = "--key", description = "PEM file with the private key of the certificate")
    private String key = "";

    @Parameter(names = "--trusted-certificates", description = "PEM file that store and VMs must be signed by")
    private String trustedCertificates = "";

    @Parameter(
            names = "--timeout",
            converter = DurationConverter.class,
            description = "longest wait for each call, such as 2s")
    private Duration timeout = Duration.ofSeconds(2);

    String store() {
        return HostAndPort.parse(store)
                .orElseThrow(() -> new UsageException("--store must be HOST:PORT, but is: " + store))
                .toString();
    }

    Duration timeout() {
        return timeout;
    }

    TransportSecurity security() {
        boolean anyFile = !certificate.isEmpty() || !key.isEmpty() || !trustedCertificates.isEmpty();
        boolean allFiles = !certificate.isEmpty() && !key.isEmpty() && !trustedCertificates.isEmpty();
        if (plainText == anyFile || (anyFile && !allFiles)) {
            throw new UsageException(
                    "give either --certificate, --key and --trusted-certificates, or --plain-text alone");
        }
        return plainText
                ? new TransportSecurity.PlainText()
                : new TransportSecurity.Tls(Path.of(certificate), Path.of(key), Path.of(trustedCertificates));
    }
}
