package org.crocusturn.daemon.wire;

import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.CopyCoverage;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.daemon.generated.OperatorsProto;

/** Converts the records of the replicated state to and from Protobuf. */
final class RecordMapper {
    private RecordMapper() {}

    static OperatorsProto.KeyRecord encode(KeyRecord value) {
        return OperatorsProto.KeyRecord.newBuilder()
                .setId(value.id())
                .setHash(value.hash())
                .setWorkspace(value.workspace().value())
                .build();
    }

    static KeyRecord decode(OperatorsProto.KeyRecord value) {
        return new KeyRecord(value.getId(), value.getHash(), WorkspaceId.of(value.getWorkspace()));
    }

    static OperatorsProto.EndpointRecord encode(EndpointRecord value) {
        OperatorsProto.EndpointRecord.Builder builder =
                OperatorsProto.EndpointRecord.newBuilder()
                        .setId(value.id().value())
                        .setService(value.service())
                        .setDataCentre(value.dataCentre().value())
                        .setAddress(value.address())
                        .setStatusAddress(value.statusAddress())
                        .setLeaving(value.leaving())
                        .setIncarnation(value.incarnation());
        value.databases()
                .forEach(
                        d ->
                                builder.addDatabases(
                                        OperatorsProto.DatabaseRecord.newBuilder()
                                                .setName(d.name())
                                                .setSlots(d.slots())
                                                .setConnections(d.connections())));
        return builder.build();
    }

    static EndpointRecord decode(OperatorsProto.EndpointRecord value) {
        return new EndpointRecord(
                EndpointId.of(value.getId()),
                value.getService(),
                DataCentreId.of(value.getDataCentre()),
                value.getAddress(),
                value.getStatusAddress(),
                value.getDatabasesList().stream()
                        .map(d -> new DatabaseRecord(d.getName(), d.getSlots(), d.getConnections()))
                        .toList(),
                value.getLeaving(),
                value.getIncarnation());
    }

    static OperatorsProto.Leaseholder encode(Leaseholder value) {
        return OperatorsProto.Leaseholder.newBuilder()
                .setHost(value.host().value())
                .setLinkAddress(value.linkAddress())
                .setIncarnation(value.incarnation())
                .setEpoch(value.epoch())
                .build();
    }

    static Leaseholder decode(OperatorsProto.Leaseholder value) {
        return new Leaseholder(
                HostId.of(value.getHost()),
                value.getLinkAddress(),
                value.getIncarnation(),
                value.getEpoch());
    }

    static OperatorsProto.GroupRecord encode(GroupRecord value) {
        OperatorsProto.GroupRecord.Builder builder =
                OperatorsProto.GroupRecord.newBuilder()
                        .setId(CommonMapper.encode(value.id()))
                        .setTerm(value.term())
                        .setStartIndex(value.startIndex())
                        .setLastEpoch(value.lastEpoch())
                        .setCopyLostVersion(value.coverage().lostVersion())
                        .setCoverageConfirmedVersion(value.coverage().confirmedVersion());
        value.primary().ifPresent(p -> builder.setPrimary(p.value()));
        value.leaseholder().ifPresent(l -> builder.setLeaseholder(encode(l)));
        return builder.build();
    }

    static GroupRecord decode(OperatorsProto.GroupRecord value) {
        return new GroupRecord(
                CommonMapper.decode(value.getId()),
                value.getTerm(),
                value.hasPrimary()
                        ? Optional.of(EndpointId.of(value.getPrimary()))
                        : Optional.empty(),
                value.getStartIndex(),
                value.hasLeaseholder()
                        ? Optional.of(decode(value.getLeaseholder()))
                        : Optional.empty(),
                value.getLastEpoch(),
                new CopyCoverage(
                        Math.max(0, value.getCopyLostVersion()),
                        Math.max(0, value.getCoverageConfirmedVersion())));
    }

    static OperatorsProto.ChangeOutcome encode(ChangeOutcome value) {
        OperatorsProto.ChangeOutcome.Builder builder =
                OperatorsProto.ChangeOutcome.newBuilder()
                        .setChangeId(value.changeId())
                        .setVersion(value.version());
        value.refusal().ifPresent(f -> builder.setRefusal(CommonMapper.encode(f)));
        return builder.build();
    }

    static ChangeOutcome decode(OperatorsProto.ChangeOutcome value) {
        return new ChangeOutcome(
                value.getChangeId(),
                value.getVersion(),
                value.hasRefusal()
                        ? Optional.of(CommonMapper.decode(value.getRefusal()))
                        : Optional.empty());
    }
}
