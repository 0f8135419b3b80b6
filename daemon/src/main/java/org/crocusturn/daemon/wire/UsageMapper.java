package org.crocusturn.daemon.wire;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.UsageReceipt;
import org.crocusturn.core.controlhosts.UsageReport;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.UsageLedger;
import org.crocusturn.core.operators.UsageWindow;
import org.crocusturn.daemon.generated.ControlHostsProto;
import org.crocusturn.daemon.generated.OperatorsProto;

/** Converts usage reports and their state to and from Protobuf. */
final class UsageMapper {
    private UsageMapper() {}

    static ControlHostsProto.UsageReport encode(UsageReport value) {
        return ControlHostsProto.UsageReport.newBuilder()
                .setHost(value.host().value())
                .setIncarnation(value.incarnation())
                .setSequence(value.sequence())
                .addAllWindows(encode(value.windows()))
                .build();
    }

    static UsageReport decode(ControlHostsProto.UsageReport value) {
        return new UsageReport(
                HostId.of(value.getHost()),
                value.getIncarnation(),
                value.getSequence(),
                decode(value.getWindowsList()));
    }

    static ControlHostsProto.UsageReceipt encode(UsageReceipt value) {
        return ControlHostsProto.UsageReceipt.newBuilder()
                .setSequence(value.sequence())
                .setTrueTimeMillis(value.trueTimeMillis())
                .build();
    }

    static UsageReceipt decode(ControlHostsProto.UsageReceipt value) {
        return new UsageReceipt(value.getSequence(), value.getTrueTimeMillis());
    }

    static OperatorsProto.UsageLedger encode(UsageLedger value) {
        OperatorsProto.UsageLedger.Builder builder =
                OperatorsProto.UsageLedger.newBuilder().setFence(value.fence());
        value.holder().ifPresent(h -> builder.setHolder(h.value()));
        value.lastClosed().ifPresent(builder::setLastClosed);
        return builder.addAllUnacknowledged(encode(value.unacknowledged()))
                .addAllAcknowledged(encode(value.acknowledged()))
                .build();
    }

    static UsageLedger decode(OperatorsProto.UsageLedger value) {
        return new UsageLedger(
                value.hasHolder() ? Optional.of(HostId.of(value.getHolder())) : Optional.empty(),
                value.getFence(),
                value.hasLastClosed() ? Optional.of(value.getLastClosed()) : Optional.empty(),
                decode(value.getUnacknowledgedList()),
                decode(value.getAcknowledgedList()));
    }

    static void putCommand(OperatorsProto.ControlCommand.Builder builder, ControlCommand value) {
        if (value instanceof ControlCommand.AssignUsageDuty c) {
            builder.getAssignUsageDutyBuilder().setHost(c.host().value()).setFence(c.fence());
        } else if (value instanceof ControlCommand.CloseUsageWindow c) {
            builder.getCloseUsageWindowBuilder().setFence(c.fence()).setWindow(encode(c.window()));
        } else if (value instanceof ControlCommand.ConfirmUsageReport c) {
            builder.getConfirmUsageReportBuilder().setWindow(c.window());
        }
    }

    static ControlCommand decode(OperatorsProto.AssignUsageDuty value) {
        return new ControlCommand.AssignUsageDuty(HostId.of(value.getHost()), value.getFence());
    }

    static ControlCommand decode(OperatorsProto.CloseUsageWindow value) {
        WireFormat.requireField(value.hasWindow(), "window");
        return new ControlCommand.CloseUsageWindow(value.getFence(), decode(value.getWindow()));
    }

    private static List<OperatorsProto.UsageWindow> encode(List<UsageWindow> values) {
        return values.stream().map(UsageMapper::encode).toList();
    }

    private static List<UsageWindow> decode(List<OperatorsProto.UsageWindow> values) {
        return values.stream().map(UsageMapper::decode).toList();
    }

    private static OperatorsProto.UsageWindow encode(UsageWindow value) {
        OperatorsProto.UsageWindow.Builder builder =
                OperatorsProto.UsageWindow.newBuilder().setNumber(value.number());
        value.counts()
                .forEach(
                        (workspace, count) ->
                                builder.addCountsBuilder()
                                        .setWorkspace(workspace.value())
                                        .setCount(count));
        return builder.build();
    }

    private static UsageWindow decode(OperatorsProto.UsageWindow value) {
        Map<WorkspaceId, Long> counts = new HashMap<>();
        value.getCountsList()
                .forEach(c -> counts.put(WorkspaceId.of(c.getWorkspace()), c.getCount()));
        return UsageWindow.of(value.getNumber(), counts);
    }
}
