package org.crocusturn.daemon.wire;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.Verdict;
import org.crocusturn.daemon.generated.CommonProto;

/** Converts values that several kinds of messages contain to and from Protobuf. */
final class CommonMapper {
    private CommonMapper() {}

    static CommonProto.Duration encode(Duration value) {
        return CommonProto.Duration.newBuilder()
                .setSeconds(value.getSeconds())
                .setNanos(value.getNano())
                .build();
    }

    static Duration decode(CommonProto.Duration value) {
        return Duration.ofSeconds(value.getSeconds(), value.getNanos());
    }

    static CommonProto.GroupId encode(GroupId value) {
        return CommonProto.GroupId.newBuilder()
                .setService(value.service())
                .setDatabase(value.database())
                .build();
    }

    static GroupId decode(CommonProto.GroupId value) {
        return GroupId.of(value.getService(), value.getDatabase());
    }

    static CommonProto.LogPosition encode(LogPosition value) {
        return CommonProto.LogPosition.newBuilder()
                .setTerm(value.term())
                .setIndex(value.index())
                .build();
    }

    static LogPosition decode(CommonProto.LogPosition value) {
        return LogPosition.of(value.getTerm(), value.getIndex());
    }

    static CommonProto.Failure encode(Failure value) {
        CommonProto.Failure.Builder builder =
                CommonProto.Failure.newBuilder()
                        .setCode(CommonProto.Failure.Code.valueOf(value.code().name()))
                        .setVerdict(CommonProto.Failure.Verdict.valueOf(value.verdict().name()))
                        .setMessage(value.message());
        value.retryAfter().ifPresent(delay -> builder.setRetryAfter(encode(delay)));
        return builder.build();
    }

    static Failure decode(CommonProto.Failure value) {
        return new Failure(
                ErrorCode.valueOf(value.getCode().name()),
                Verdict.valueOf(value.getVerdict().name()),
                value.getMessage(),
                value.hasRetryAfter()
                        ? Optional.of(decode(value.getRetryAfter()))
                        : Optional.empty());
    }
}
