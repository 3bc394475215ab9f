package org.geraniumproxy.engine.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.balance.LoadReport;
import org.geraniumproxy.core.balance.ResponseSummary;
import org.geraniumproxy.core.identity.BackendServerName;

/** Encodes and decodes the loads of databases. A database takes its name and 6 to 12 bytes. */
final class LoadEncoding {
    /** The weights of responses are sent in sixteenths, so that those of VMs with few statements are not lost. */
    private static final double WEIGHT_STEPS = 16;

    private LoadEncoding() {}

    static void write(DataOutputStream output, Map<BackendServerName, LoadReport> loads) throws IOException {
        PeerEncoding.writeVarint(output, loads.size());
        for (Map.Entry<BackendServerName, LoadReport> entry : loads.entrySet()) {
            LoadReport report = entry.getValue();
            PeerEncoding.writeText(output, entry.getKey().value());
            PeerEncoding.writeVarint(output, report.outstanding());
            writeWeight(output, report.responses().answered());
            writeWeight(output, report.responses().failed());
            PeerEncoding.writeMilliseconds(output, report.responses().serviceTime());
            PeerEncoding.writeMilliseconds(output, report.age());
        }
    }

    /** Returns no loads if the message ends here, because a VM of an earlier version sends none. */
    static Map<BackendServerName, LoadReport> read(DataInputStream input) throws IOException {
        Map<BackendServerName, LoadReport> loads = new HashMap<>();
        long count = input.available() == 0 ? 0 : PeerEncoding.readVarint(input);
        for (long index = 0; index < count; index++) {
            BackendServerName database = BackendServerName.of(PeerEncoding.readText(input));
            int outstanding = PeerEncoding.readInt(input);
            ResponseSummary responses = new ResponseSummary(
                    readWeight(input), readWeight(input), Duration.ofMillis(PeerEncoding.readInt(input)));
            loads.put(database, new LoadReport(outstanding, responses, Duration.ofMillis(PeerEncoding.readInt(input))));
        }
        return loads;
    }

    private static void writeWeight(DataOutputStream output, double weight) throws IOException {
        PeerEncoding.writeVarint(output, Math.round(weight * WEIGHT_STEPS));
    }

    private static double readWeight(DataInputStream input) throws IOException {
        return PeerEncoding.readInt(input) / WEIGHT_STEPS;
    }
}
