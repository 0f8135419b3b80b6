package org.crocusturn.daemon.wire;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Collectors;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.NotLeader;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.daemon.generated.ControlHostsProto;

/** Converts the reports of entry hosts and redirects to the leader to and from Protobuf. */
final class ReportMapper {
    /** Keeps times that are computed from an uptime in range. */
    private static final long MAX_UPTIME_MILLIS = Duration.ofDays(1).toMillis();

    private ReportMapper() {}

    static ControlHostsProto.EntryReport encode(EntryReport value) {
        ControlHostsProto.EntryReport.Builder builder =
                ControlHostsProto.EntryReport.newBuilder()
                        .setHost(value.host().value())
                        .setIncarnation(value.incarnation())
                        .setDataCentre(value.dataCentre().value())
                        .setLinkAddress(value.linkAddress())
                        .setSequence(value.sequence())
                        .setKnownVersion(value.knownVersion())
                        .setLeaving(value.leaving())
                        .setAnswered(value.answeredSequence())
                        .setHoldingsTerm(value.holdingsTerm())
                        .setRelayCapacity(value.relayCapacity())
                        .setTimeOfDayMillis(value.timeOfDayMillis())
                        .setUptimeMillis(value.uptimeMillis());
        value.leases().forEach(l -> builder.addLeases(encode(l)));
        value.demands().forEach(d -> builder.addDemands(encode(d)));
        value.suspects().stream().sorted().forEach(s -> builder.addSuspects(s.value()));
        return builder.build();
    }

    static EntryReport decode(ControlHostsProto.EntryReport value) {
        return new EntryReport(
                HostId.of(value.getHost()),
                value.getIncarnation(),
                DataCentreId.of(value.getDataCentre()),
                value.getLinkAddress(),
                value.getSequence(),
                value.getKnownVersion(),
                value.getLeasesList().stream().map(ReportMapper::decode).toList(),
                value.getDemandsList().stream().map(ReportMapper::decode).toList(),
                value.getSuspectsList().stream().map(EndpointId::of).collect(Collectors.toSet()),
                value.getLeaving(),
                value.getAnswered(),
                value.getHoldingsTerm(),
                Math.max(0, value.getRelayCapacity()),
                value.getTimeOfDayMillis(),
                Math.max(0, Math.min(MAX_UPTIME_MILLIS, value.getUptimeMillis())));
    }

    static ControlHostsProto.NotLeader encode(NotLeader value) {
        ControlHostsProto.NotLeader.Builder builder = ControlHostsProto.NotLeader.newBuilder();
        value.leader().ifPresent(l -> builder.setLeader(l.value()));
        builder.setTerm(value.term());
        builder.addAllMembers(LogMapper.encode(new Membership(value.members())).getMembersList());
        return builder.build();
    }

    static NotLeader decode(ControlHostsProto.NotLeader value) {
        return new NotLeader(
                value.hasLeader() ? Optional.of(HostId.of(value.getLeader())) : Optional.empty(),
                value.getTerm(),
                LogMapper.decodeMembers(value.getMembersList()));
    }

    private static ControlHostsProto.HeldLease encode(HeldLease value) {
        return ControlHostsProto.HeldLease.newBuilder()
                .setGroup(CommonMapper.encode(value.group()))
                .setEpoch(value.epoch())
                .setDroppedTerm(value.droppedTerm())
                .setReleased(value.released())
                .setBusy(value.busy())
                .setCoveredVersion(value.coveredVersion())
                .setCallsPerSecond(value.callsPerSecond())
                .build();
    }

    private static HeldLease decode(ControlHostsProto.HeldLease value) {
        return new HeldLease(
                CommonMapper.decode(value.getGroup()),
                value.getEpoch(),
                value.getDroppedTerm(),
                value.getReleased(),
                value.getBusy(),
                value.getCoveredVersion(),
                Math.max(0, value.getCallsPerSecond()));
    }

    private static ControlHostsProto.TokenDemand encode(TokenDemand value) {
        return ControlHostsProto.TokenDemand.newBuilder()
                .setWorkspace(value.workspace().value())
                .setWanted(value.wanted())
                .setSpentTotal(value.spentTotal())
                .setHeld(value.held())
                .build();
    }

    private static TokenDemand decode(ControlHostsProto.TokenDemand value) {
        return new TokenDemand(
                WorkspaceId.of(value.getWorkspace()),
                value.getWanted(),
                value.getSpentTotal(),
                value.getHeld());
    }
}
