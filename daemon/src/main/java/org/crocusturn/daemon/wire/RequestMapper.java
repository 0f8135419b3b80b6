package org.crocusturn.daemon.wire;

import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.TransactionId;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.daemon.generated.CallersProto;
import org.crocusturn.daemon.generated.EntryHostsProto;

/** Converts the requests to leaseholders to and from Protobuf. */
final class RequestMapper {
    private RequestMapper() {}

    static EntryHostsProto.ForwardedRequest encode(ForwardedRequest value) {
        return EntryHostsProto.ForwardedRequest.newBuilder()
                .setRequest(encode(value.request()))
                .setEpoch(value.epoch())
                .build();
    }

    static ForwardedRequest decode(EntryHostsProto.ForwardedRequest value) {
        WireFormat.requireField(value.hasRequest(), "request");
        return new ForwardedRequest(decode(value.getRequest()), value.getEpoch());
    }

    static CallersProto.SessionMark encode(SessionMark value) {
        return CallersProto.SessionMark.newBuilder()
                .setLastWrite(CommonMapper.encode(value.lastWrite()))
                .setLastRead(CommonMapper.encode(value.lastRead()))
                .build();
    }

    static SessionMark decode(CallersProto.SessionMark value) {
        WireFormat.requireField(
                value.hasLastWrite() && value.hasLastRead(), "last_write or last_read");
        return new SessionMark(
                CommonMapper.decode(value.getLastWrite()),
                CommonMapper.decode(value.getLastRead()));
    }

    static CallersProto.TransactionId encode(TransactionId value) {
        return CallersProto.TransactionId.newBuilder()
                .setGroup(CommonMapper.encode(value.group()))
                .setEpoch(value.epoch())
                .setSecret(value.secret())
                .build();
    }

    static TransactionId decode(CallersProto.TransactionId value) {
        return new TransactionId(
                CommonMapper.decode(value.getGroup()), value.getEpoch(), value.getSecret());
    }

    private static CallersProto.GroupRequest encode(GroupRequest value) {
        return CallersProto.GroupRequest.newBuilder()
                .setId(value.id())
                .setWorkspace(value.workspace().value())
                .setGroup(CommonMapper.encode(value.group()))
                .setOperation(encode(value.operation()))
                .setMark(encode(value.mark()))
                .setHasToken(value.hasToken())
                .setTimeoutMillis(value.timeoutMillis())
                .build();
    }

    private static GroupRequest decode(CallersProto.GroupRequest value) {
        WireFormat.requireField(value.hasMark(), "mark");
        return new GroupRequest(
                value.getId(),
                WorkspaceId.of(value.getWorkspace()),
                CommonMapper.decode(value.getGroup()),
                decode(value.getOperation()),
                decode(value.getMark()),
                value.getHasToken(),
                value.getTimeoutMillis());
    }

    private static CallersProto.GroupOperation encode(GroupOperation value) {
        CallersProto.GroupOperation.Builder builder = CallersProto.GroupOperation.newBuilder();
        if (value instanceof GroupOperation.Execute o) {
            builder.setExecute(StatementMapper.encode(o.statement()));
        } else if (value instanceof GroupOperation.ExecuteInTransaction o) {
            builder.setExecuteInTransaction(
                    CallersProto.ExecuteInTransaction.newBuilder()
                            .setTransaction(encode(o.transaction()))
                            .setStatement(StatementMapper.encode(o.statement())));
        } else if (value instanceof GroupOperation.Commit o) {
            builder.setCommit(encode(o.transaction()));
        } else if (value instanceof GroupOperation.Rollback o) {
            builder.setRollback(encode(o.transaction()));
        } else {
            builder.setBegin(CallersProto.Begin.getDefaultInstance());
        }
        return builder.build();
    }

    private static GroupOperation decode(CallersProto.GroupOperation value) {
        return switch (value.getKindCase()) {
            case EXECUTE -> new GroupOperation.Execute(StatementMapper.decode(value.getExecute()));
            case BEGIN -> new GroupOperation.Begin();
            case EXECUTE_IN_TRANSACTION ->
                    new GroupOperation.ExecuteInTransaction(
                            decode(value.getExecuteInTransaction().getTransaction()),
                            StatementMapper.decode(value.getExecuteInTransaction().getStatement()));
            case COMMIT -> new GroupOperation.Commit(decode(value.getCommit()));
            case ROLLBACK -> new GroupOperation.Rollback(decode(value.getRollback()));
            case KIND_NOT_SET -> throw WireFormat.malformed("unknown kind of operation");
        };
    }
}
