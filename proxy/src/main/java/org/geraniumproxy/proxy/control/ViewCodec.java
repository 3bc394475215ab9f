package org.geraniumproxy.proxy.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.configuration.ConfigurationRevision;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.KnownConfiguration;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.ViewEvent;
import org.geraniumproxy.core.membership.ViewState;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.protocol.ConfigurationContent;
import org.geraniumproxy.protocol.ViewReply;
import org.geraniumproxy.protocol.ViewRequest;
import org.geraniumproxy.protocol.VmRecord;

/** Translates between the messages and the core types of the view. */
final class ViewCodec {
    private final ConfigurationParser parser;

    ViewCodec(ConfigurationParser parser) {
        this.parser = parser;
    }

    KnownConfiguration configuration(ConfigurationContent content) {
        ConfigurationRevision revision = new ConfigurationRevision(
                content.getRevision(),
                content.getApplyIdentifier(),
                content.getContentDigest(),
                parser.parse(content.getToml()));
        return new KnownConfiguration(revision, content.getToml());
    }

    ViewEvent.PeerReplied reply(VmName peer, Instant requestSentAt, ViewReply reply) {
        return new ViewEvent.PeerReplied(
                peer,
                requestSentAt,
                reply.getConfigurationRevision(),
                reply.getRosterRevision(),
                reply.getAgeMillis() < 0 ? Optional.empty() : Optional.of(Duration.ofMillis(reply.getAgeMillis())),
                reply.getMayVote(),
                reply.getLeaving(),
                reply.hasConfiguration() ? Optional.of(configuration(reply.getConfiguration())) : Optional.empty(),
                reply.hasRoster() ? Optional.of(roster(reply.getRoster())) : Optional.empty());
    }

    static ViewReply reply(ViewState state, long incarnation, ViewRequest request, Instant now) {
        ViewReply.Builder reply = ViewReply.newBuilder()
                .setVm(state.self().value())
                .setIncarnation(incarnation)
                .setConfigurationRevision(state.configuration().number())
                .setRosterRevision(state.roster().revision())
                .setAgeMillis(ageMillis(state, now))
                .setMayVote(state.mayVote())
                .setLeaving(state.draining());
        if (state.configuration().number() > request.getConfigurationRevision()) {
            reply.setConfiguration(content(state.configuration()));
        }
        if (state.roster().revision() > request.getRosterRevision()) {
            reply.setRoster(roster(state.roster()));
        }
        return reply.build();
    }

    /** Rounds the age up, because a peer must never take the view for younger than it is. */
    static long ageMillis(ViewState state, Instant now) {
        return state.provenAt(now)
                .map(provenAt -> Duration.between(provenAt, now).toMillis() + 1)
                .orElse(-1L);
    }

    static ConfigurationContent manifest(ByteString value) throws InvalidProtocolBufferException {
        return ConfigurationContent.parseFrom(value);
    }

    static Roster roster(ByteString value) throws InvalidProtocolBufferException {
        return roster(org.geraniumproxy.protocol.Roster.parseFrom(value));
    }

    static ByteString encoded(Roster roster) {
        return roster(roster).toByteString();
    }

    private static ConfigurationContent content(KnownConfiguration configuration) {
        return ConfigurationContent.newBuilder()
                .setRevision(configuration.number())
                .setApplyIdentifier(configuration.revision().applyIdentifier())
                .setContentDigest(configuration.revision().contentDigest())
                .setToml(configuration.text())
                .build();
    }

    private static org.geraniumproxy.protocol.Roster roster(Roster roster) {
        List<VmRecord> vms = roster.vms().stream().map(ViewCodec::vm).toList();
        return org.geraniumproxy.protocol.Roster.newBuilder()
                .setRevision(roster.revision())
                .setNextIndex(roster.nextIndex())
                .addAllVms(vms)
                .build();
    }

    private static Roster roster(org.geraniumproxy.protocol.Roster roster) {
        List<Vm> vms = roster.getVmsList().stream().map(ViewCodec::vm).toList();
        return new Roster(roster.getRevision(), vms, roster.getNextIndex());
    }

    private static VmRecord vm(Vm vm) {
        return VmRecord.newBuilder()
                .setIndex(vm.index())
                .setName(vm.name().value())
                .setAddress(vm.address())
                .setRegion(vm.region().value())
                .setFailureDomain(vm.failureDomain().value())
                .setIncarnation(vm.incarnation())
                .setLeaving(vm.leaving())
                .build();
    }

    private static Vm vm(VmRecord vm) {
        return new Vm(
                vm.getIndex(),
                VmName.of(vm.getName()),
                vm.getAddress(),
                RegionName.of(vm.getRegion()),
                FailureDomain.of(vm.getFailureDomain()),
                vm.getIncarnation(),
                vm.getLeaving());
    }
}
