package org.crocusturn.daemon.wire;

import java.util.Optional;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.PreparedShape;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.daemon.generated.EntryHostsProto;
import org.crocusturn.daemon.generated.OperatorsProto;

/** Converts session calls to leaseholders and their replies to and from Protobuf. */
final class SessionMapper {
    private SessionMapper() {}

    static EntryHostsProto.SessionCall encode(SessionCall value) {
        EntryHostsProto.SessionCall.Builder builder =
                EntryHostsProto.SessionCall.newBuilder()
                        .setId(value.id())
                        .setSession(value.session())
                        .setGroup(CommonMapper.encode(value.group()))
                        .setEpoch(value.epoch())
                        .setWorkspace(value.workspace().value())
                        .setConsistency(
                                OperatorsProto.Route.Consistency.valueOf(
                                        value.options().consistency().name()))
                        .setMaxAgeMillis(value.options().maxAgeMillis())
                        .setPriority(value.options().priority())
                        .setRemainingMillis(value.options().remainingMillis())
                        .setStep(EntryHostsProto.SessionCall.Step.valueOf(value.step().name()))
                        .setStatement(encode(value.statement()))
                        .putAllValues(value.values())
                        .setOwnPosition(CommonMapper.encode(value.ownPosition()));
        value.prepared()
                .ifPresent(
                        p -> builder.getPreparedBuilder().setWrite(p.write()).setShape(p.shape()));
        return builder.build();
    }

    static SessionCall decode(EntryHostsProto.SessionCall value) {
        WireFormat.requireField(value.hasStatement(), "statement");
        return new SessionCall(
                value.getId(),
                value.getSession(),
                CommonMapper.decode(value.getGroup()),
                value.getEpoch(),
                WorkspaceId.of(value.getWorkspace()),
                new SessionCall.Options(
                        Consistency.valueOf(value.getConsistency().name()),
                        value.getMaxAgeMillis(),
                        value.getPriority(),
                        value.getRemainingMillis()),
                TransactionStep.valueOf(value.getStep().name()),
                decode(value.getStatement()),
                value.hasPrepared()
                        ? Optional.of(
                                new PreparedShape(
                                        value.getPrepared().getWrite(),
                                        value.getPrepared().getShape()))
                        : Optional.empty(),
                value.getValuesMap(),
                CommonMapper.decode(value.getOwnPosition()));
    }

    static EntryHostsProto.SessionReply encode(SessionReply value) {
        SessionOutcome outcome = value.outcome();
        EntryHostsProto.SessionReply.Builder builder =
                EntryHostsProto.SessionReply.newBuilder()
                        .setId(value.id())
                        .addAllRows(outcome.rows())
                        .setSignature(outcome.signature())
                        .setTransactionFailed(outcome.transactionFailed());
        outcome.failure().ifPresent(f -> builder.setFailure(CommonMapper.encode(f)));
        outcome.committed().ifPresent(p -> builder.setCommitted(CommonMapper.encode(p)));
        return builder.build();
    }

    static SessionReply decode(EntryHostsProto.SessionReply value) {
        return new SessionReply(
                value.getId(),
                new SessionOutcome(
                        value.getRowsList(),
                        value.getSignature(),
                        value.hasFailure()
                                ? Optional.of(CommonMapper.decode(value.getFailure()))
                                : Optional.empty(),
                        value.getTransactionFailed(),
                        value.hasCommitted()
                                ? Optional.of(CommonMapper.decode(value.getCommitted()))
                                : Optional.empty()));
    }

    static EntryHostsProto.SessionEnd encode(SessionEnd value) {
        return EntryHostsProto.SessionEnd.newBuilder()
                .setSession(value.session())
                .setGroup(CommonMapper.encode(value.group()))
                .build();
    }

    static SessionEnd decode(EntryHostsProto.SessionEnd value) {
        return new SessionEnd(value.getSession(), CommonMapper.decode(value.getGroup()));
    }

    private static EntryHostsProto.SessionStatement encode(SessionStatement value) {
        return EntryHostsProto.SessionStatement.newBuilder()
                .setId(value.id())
                .setKind(EntryHostsProto.SessionStatement.Kind.valueOf(value.kind().name()))
                .setName(value.name())
                .setArgument(value.argument())
                .setText(value.text())
                .build();
    }

    private static SessionStatement decode(EntryHostsProto.SessionStatement value) {
        return new SessionStatement(
                value.getId(),
                StatementKind.valueOf(value.getKind().name()),
                value.getName(),
                value.getArgument(),
                value.getText());
    }
}
