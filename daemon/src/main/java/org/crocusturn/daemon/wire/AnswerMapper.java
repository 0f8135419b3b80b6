package org.crocusturn.daemon.wire;

import java.util.List;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.callers.GroupAnswer;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.ServedBy;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.StatementAnswer;
import org.crocusturn.core.entryhosts.ForwardedReply;
import org.crocusturn.daemon.generated.CallersProto;
import org.crocusturn.daemon.generated.EntryHostsProto;

/** Converts the answers of leaseholders to and from Protobuf. */
final class AnswerMapper {
    private AnswerMapper() {}

    static EntryHostsProto.ForwardedReply encode(ForwardedReply value) {
        return EntryHostsProto.ForwardedReply.newBuilder()
                .setId(value.id())
                .setOutcome(encode(value.outcome()))
                .build();
    }

    static ForwardedReply decode(EntryHostsProto.ForwardedReply value) {
        return new ForwardedReply(value.getId(), decode(value.getOutcome()));
    }

    private static CallersProto.Outcome encode(Outcome value) {
        CallersProto.Outcome.Builder builder = CallersProto.Outcome.newBuilder();
        if (value instanceof Outcome.Answered answered) {
            builder.setAnswer(encode(answered.answer()));
        } else if (value instanceof Outcome.Failed failed) {
            builder.setFailure(CommonMapper.encode(failed.failure()));
        }
        return builder.build();
    }

    private static Outcome decode(CallersProto.Outcome value) {
        return switch (value.getKindCase()) {
            case ANSWER -> new Outcome.Answered(decode(value.getAnswer()));
            case FAILURE -> new Outcome.Failed(CommonMapper.decode(value.getFailure()));
            case KIND_NOT_SET -> throw WireFormat.malformed("unknown kind of outcome");
        };
    }

    private static CallersProto.GroupAnswer encode(GroupAnswer value) {
        CallersProto.GroupAnswer.Builder builder =
                CallersProto.GroupAnswer.newBuilder().setMark(RequestMapper.encode(value.mark()));
        value.statement().ifPresent(s -> builder.setStatement(encode(s)));
        value.transaction().ifPresent(t -> builder.setTransaction(RequestMapper.encode(t)));
        return builder.build();
    }

    private static GroupAnswer decode(CallersProto.GroupAnswer value) {
        WireFormat.requireField(value.hasMark(), "mark");
        return new GroupAnswer(
                value.hasStatement() ? Optional.of(decode(value.getStatement())) : Optional.empty(),
                value.hasTransaction()
                        ? Optional.of(RequestMapper.decode(value.getTransaction()))
                        : Optional.empty(),
                RequestMapper.decode(value.getMark()));
    }

    private static CallersProto.StatementAnswer encode(StatementAnswer value) {
        CallersProto.StatementAnswer.Builder builder =
                CallersProto.StatementAnswer.newBuilder()
                        .addAllColumns(value.columns())
                        .setUpdated(value.updated())
                        .setServedBy(encode(value.servedBy()));
        value.rows().forEach(row -> builder.addRows(encode(row)));
        return builder.build();
    }

    private static StatementAnswer decode(CallersProto.StatementAnswer value) {
        return new StatementAnswer(
                value.getColumnsList(),
                value.getRowsList().stream().map(AnswerMapper::decode).toList(),
                value.getUpdated(),
                decode(value.getServedBy()));
    }

    private static CallersProto.Row encode(List<SqlValue> row) {
        CallersProto.Row.Builder builder = CallersProto.Row.newBuilder();
        row.forEach(v -> builder.addValues(StatementMapper.encode(v)));
        return builder.build();
    }

    private static List<SqlValue> decode(CallersProto.Row row) {
        return row.getValuesList().stream().map(StatementMapper::decode).toList();
    }

    private static CallersProto.ServedBy encode(ServedBy value) {
        return CallersProto.ServedBy.newBuilder()
                .setEndpoint(value.endpoint().value())
                .setRole(CallersProto.ServedBy.Role.valueOf(value.role().name()))
                .setTerm(value.term())
                .build();
    }

    private static ServedBy decode(CallersProto.ServedBy value) {
        return new ServedBy(
                EndpointId.of(value.getEndpoint()),
                Role.valueOf(value.getRole().name()),
                value.getTerm());
    }
}
