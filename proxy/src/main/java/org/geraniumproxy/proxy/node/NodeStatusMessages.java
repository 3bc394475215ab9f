package org.geraniumproxy.proxy.node;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.protocol.GroupStatus;
import org.geraniumproxy.protocol.NodeStatusReply;

/** Builds the status message that the operators' tool asks for. */
final class NodeStatusMessages {
    private static final long NO_PROOF = -1;

    private NodeStatusMessages() {}

    static NodeStatusReply of(ControlSnapshot snapshot, Instant now) {
        List<String> live = snapshot.roster().vms().stream()
                .map(Vm::name)
                .filter(name -> !snapshot.unavailableVms().contains(name))
                .map(Object::toString)
                .toList();
        return NodeStatusReply.newBuilder()
                .setVm(snapshot.self().value())
                .setConfigurationRevision(snapshot.configuration().revision())
                .setRosterRevision(snapshot.roster().revision())
                .setViewAgeMillis(viewAgeMillis(snapshot, now))
                .setReady(snapshot.isViewCurrent(now) && !snapshot.draining())
                .addAllGroups(snapshot.groups().values().stream()
                        .map(view -> group(snapshot, view))
                        .toList())
                .addAllLiveVms(live)
                .build();
    }

    private static long viewAgeMillis(ControlSnapshot snapshot, Instant now) {
        return snapshot.viewProvenAt()
                .map(provenAt -> Duration.between(provenAt, now).toMillis())
                .orElse(NO_PROOF);
    }

    private static GroupStatus group(ControlSnapshot snapshot, GroupView view) {
        return GroupStatus.newBuilder()
                .setGroup(view.group().value())
                .setTerm(view.term().number())
                .setPrimary(view.primary().map(Object::toString).orElse(""))
                .setCoordinator(snapshot.self().value())
                .build();
    }
}
