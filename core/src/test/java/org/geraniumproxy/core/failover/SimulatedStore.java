package org.geraniumproxy.core.failover;

import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumproxy.core.identity.Term;

/** Store that holds the group record. While it does not reply, requests still take effect. */
final class SimulatedStore {
    static final String NAME = "store";

    private final SimulatedNetwork network;
    private Optional<GroupRecord> record = Optional.empty();
    private boolean replying = true;

    SimulatedStore(SimulatedNetwork network) {
        this.network = network;
    }

    void setReplying(boolean replying) {
        this.replying = replying;
    }

    void put(String from, GroupRecord wanted, Consumer<Term> onReply) {
        network.send(from, NAME, () -> {
            if (record.map(wanted::supersedes).orElse(true)) {
                record = Optional.of(wanted);
            }
            Term term = record.orElseThrow().term();
            if (replying) {
                network.send(NAME, from, () -> onReply.accept(term));
            }
        });
    }
}
