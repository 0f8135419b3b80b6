package org.crocusturn.daemon.wire;

import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.daemon.generated.OperatorsProto;

/** Converts the commands that change the replicated state to and from Protobuf. */
final class CommandMapper {
    private CommandMapper() {}

    static OperatorsProto.ControlCommand encode(ControlCommand value) {
        OperatorsProto.ControlCommand.Builder builder = OperatorsProto.ControlCommand.newBuilder();
        if (value instanceof ControlCommand.OperatorCommand command) {
            putOperatorCommand(builder, command);
        } else if (value instanceof ControlCommand.RegisterEndpoint c) {
            builder.setRegisterEndpoint(RecordMapper.encode(c.endpoint()));
        } else if (value instanceof ControlCommand.RemoveEndpoint c) {
            builder.getRemoveEndpointBuilder().setEndpoint(c.endpoint().value());
        } else if (value instanceof ControlCommand.PatchConfiguration c) {
            builder.getPatchConfigurationBuilder()
                    .setChangeId(c.changeId())
                    .setDelta(ConfigurationMapper.encode(c.delta()))
                    .setWithdrawsKeys(c.withdrawsKeys());
        } else {
            putGroupCommand(builder, value);
            UsageMapper.putCommand(builder, value);
        }
        if (builder.getKindCase() == OperatorsProto.ControlCommand.KindCase.KIND_NOT_SET) {
            throw new IllegalArgumentException("no encoding for " + value.getClass());
        }
        return builder.build();
    }

    static ControlCommand decode(OperatorsProto.ControlCommand value) {
        return switch (value.getKindCase()) {
            case APPLY_CONFIGURATION -> decode(value.getApplyConfiguration());
            case REPLACE_CONFIGURATION -> decode(value.getReplaceConfiguration());
            case PATCH_CONFIGURATION -> decode(value.getPatchConfiguration());
            case ISSUE_KEY ->
                    new ControlCommand.IssueKey(
                            value.getIssueKey().getChangeId(),
                            RecordMapper.decode(value.getIssueKey().getKey()));
            case WITHDRAW_KEY ->
                    new ControlCommand.WithdrawKey(
                            value.getWithdrawKey().getChangeId(),
                            value.getWithdrawKey().getKeyId());
            case SET_DATA_CENTRE_DRAINED -> decode(value.getSetDataCentreDrained());
            case REGISTER_ENDPOINT ->
                    new ControlCommand.RegisterEndpoint(
                            RecordMapper.decode(value.getRegisterEndpoint()));
            case REMOVE_ENDPOINT ->
                    new ControlCommand.RemoveEndpoint(
                            EndpointId.of(value.getRemoveEndpoint().getEndpoint()));
            case ASSIGN_LEASE ->
                    new ControlCommand.AssignLease(
                            CommonMapper.decode(value.getAssignLease().getGroup()),
                            RecordMapper.decode(value.getAssignLease().getLeaseholder()));
            case RELEASE_LEASE ->
                    new ControlCommand.ReleaseLease(
                            CommonMapper.decode(value.getReleaseLease().getGroup()),
                            value.getReleaseLease().getEpoch());
            case BEGIN_FAILOVER ->
                    new ControlCommand.BeginFailover(
                            CommonMapper.decode(value.getBeginFailover().getGroup()),
                            value.getBeginFailover().getTerm());
            case COMPLETE_PROMOTION -> decode(value.getCompletePromotion());
            case CONFIRM_COVERAGE ->
                    new ControlCommand.ConfirmCoverage(
                            CommonMapper.decode(value.getConfirmCoverage().getGroup()),
                            value.getConfirmCoverage().getEpoch(),
                            value.getConfirmCoverage().getVersion());
            case ASSIGN_USAGE_DUTY -> UsageMapper.decode(value.getAssignUsageDuty());
            case CLOSE_USAGE_WINDOW -> UsageMapper.decode(value.getCloseUsageWindow());
            case CONFIRM_USAGE_REPORT ->
                    new ControlCommand.ConfirmUsageReport(
                            value.getConfirmUsageReport().getWindow());
            case KIND_NOT_SET -> throw WireFormat.malformed("unknown kind of command");
        };
    }

    private static void putOperatorCommand(
            OperatorsProto.ControlCommand.Builder builder, ControlCommand.OperatorCommand value) {
        if (value instanceof ControlCommand.ApplyConfiguration c) {
            builder.getApplyConfigurationBuilder()
                    .setChangeId(c.changeId())
                    .setConfiguration(ConfigurationMapper.encode(c.configuration()));
        } else if (value instanceof ControlCommand.ReplaceConfiguration c) {
            builder.getReplaceConfigurationBuilder()
                    .setChangeId(c.changeId())
                    .setConfiguration(ConfigurationMapper.encode(c.configuration()));
        } else if (value instanceof ControlCommand.IssueKey c) {
            builder.getIssueKeyBuilder()
                    .setChangeId(c.changeId())
                    .setKey(RecordMapper.encode(c.key()));
        } else if (value instanceof ControlCommand.WithdrawKey c) {
            builder.getWithdrawKeyBuilder().setChangeId(c.changeId()).setKeyId(c.keyId());
        } else if (value instanceof ControlCommand.SetDataCentreDrained c) {
            builder.getSetDataCentreDrainedBuilder()
                    .setChangeId(c.changeId())
                    .setDataCentre(c.dataCentre().value())
                    .setDrained(c.drained());
            c.precedingOrder()
                    .ifPresent(builder.getSetDataCentreDrainedBuilder()::setPrecedingOrder);
        }
    }

    private static void putGroupCommand(
            OperatorsProto.ControlCommand.Builder builder, ControlCommand value) {
        if (value instanceof ControlCommand.AssignLease c) {
            builder.getAssignLeaseBuilder()
                    .setGroup(CommonMapper.encode(c.group()))
                    .setLeaseholder(RecordMapper.encode(c.leaseholder()));
        } else if (value instanceof ControlCommand.ReleaseLease c) {
            builder.getReleaseLeaseBuilder()
                    .setGroup(CommonMapper.encode(c.group()))
                    .setEpoch(c.epoch());
        } else if (value instanceof ControlCommand.BeginFailover c) {
            builder.getBeginFailoverBuilder()
                    .setGroup(CommonMapper.encode(c.group()))
                    .setTerm(c.term());
        } else if (value instanceof ControlCommand.ConfirmCoverage c) {
            builder.getConfirmCoverageBuilder()
                    .setGroup(CommonMapper.encode(c.group()))
                    .setEpoch(c.epoch())
                    .setVersion(c.version());
        } else if (value instanceof ControlCommand.CompletePromotion c) {
            builder.getCompletePromotionBuilder()
                    .setGroup(CommonMapper.encode(c.group()))
                    .setTerm(c.term())
                    .setPrimary(c.primary().value())
                    .setStartIndex(c.startIndex());
        }
    }

    private static ControlCommand decode(OperatorsProto.SetDataCentreDrained value) {
        return new ControlCommand.SetDataCentreDrained(
                value.getChangeId(),
                DataCentreId.of(value.getDataCentre()),
                value.getDrained(),
                value.hasPrecedingOrder()
                        ? Optional.of(value.getPrecedingOrder())
                        : Optional.empty());
    }

    private static ControlCommand decode(OperatorsProto.ApplyConfiguration value) {
        WireFormat.requireField(value.hasConfiguration(), "configuration");
        return new ControlCommand.ApplyConfiguration(
                value.getChangeId(), ConfigurationMapper.decode(value.getConfiguration()));
    }

    private static ControlCommand decode(OperatorsProto.ReplaceConfiguration value) {
        WireFormat.requireField(value.hasConfiguration(), "configuration");
        return new ControlCommand.ReplaceConfiguration(
                value.getChangeId(), ConfigurationMapper.decode(value.getConfiguration()));
    }

    private static ControlCommand decode(OperatorsProto.PatchConfiguration value) {
        WireFormat.requireField(value.hasDelta(), "delta");
        return new ControlCommand.PatchConfiguration(
                value.getChangeId(),
                ConfigurationMapper.decode(value.getDelta()),
                value.getWithdrawsKeys());
    }

    private static ControlCommand decode(OperatorsProto.CompletePromotion value) {
        return new ControlCommand.CompletePromotion(
                CommonMapper.decode(value.getGroup()),
                value.getTerm(),
                EndpointId.of(value.getPrimary()),
                value.getStartIndex());
    }
}
