package org.crocusturn.daemon.wire;

import com.google.protobuf.ByteString;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.Optional;
import org.crocusturn.core.callers.Access;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.daemon.generated.CallersProto;

/** Converts statements and SQL values to and from Protobuf. */
final class StatementMapper {
    private StatementMapper() {}

    static CallersProto.Statement encode(Statement value) {
        CallersProto.Statement.Builder builder =
                CallersProto.Statement.newBuilder()
                        .setSql(value.sql())
                        .setAccess(CallersProto.Statement.Access.valueOf(value.access().name()));
        value.parameters().forEach(p -> builder.addParameters(encode(p)));
        value.maxAge().ifPresent(age -> builder.setMaxAge(CommonMapper.encode(age)));
        value.requestId().ifPresent(builder::setRequestId);
        return builder.build();
    }

    static Statement decode(CallersProto.Statement value) {
        return new Statement(
                value.getSql(),
                value.getParametersList().stream().map(StatementMapper::decode).toList(),
                Access.valueOf(value.getAccess().name()),
                value.hasMaxAge()
                        ? Optional.of(CommonMapper.decode(value.getMaxAge()))
                        : Optional.empty(),
                value.hasRequestId() ? Optional.of(value.getRequestId()) : Optional.empty());
    }

    static CallersProto.SqlValue encode(SqlValue value) {
        CallersProto.SqlValue.Builder builder = CallersProto.SqlValue.newBuilder();
        if (value instanceof SqlValue.BooleanValue v) {
            builder.setBooleanValue(v.value());
        } else if (value instanceof SqlValue.IntegerValue v) {
            builder.setIntegerValue(v.value());
        } else if (value instanceof SqlValue.DecimalValue v) {
            builder.setDecimalValue(encode(v.value()));
        } else if (value instanceof SqlValue.TextValue v) {
            builder.setTextValue(v.value());
        } else {
            builder.setNullValue(CallersProto.NullValue.getDefaultInstance());
        }
        return builder.build();
    }

    static SqlValue decode(CallersProto.SqlValue value) {
        return switch (value.getKindCase()) {
            case NULL_VALUE -> SqlValue.NullValue.INSTANCE;
            case BOOLEAN_VALUE -> new SqlValue.BooleanValue(value.getBooleanValue());
            case INTEGER_VALUE -> new SqlValue.IntegerValue(value.getIntegerValue());
            case DECIMAL_VALUE -> new SqlValue.DecimalValue(decode(value.getDecimalValue()));
            case TEXT_VALUE -> new SqlValue.TextValue(value.getTextValue());
            case KIND_NOT_SET -> throw WireFormat.malformed("unknown kind of SQL value");
        };
    }

    private static CallersProto.DecimalValue encode(BigDecimal value) {
        return CallersProto.DecimalValue.newBuilder()
                .setUnscaled(ByteString.copyFrom(value.unscaledValue().toByteArray()))
                .setScale(value.scale())
                .build();
    }

    private static BigDecimal decode(CallersProto.DecimalValue value) {
        return new BigDecimal(new BigInteger(value.getUnscaled().toByteArray()), value.getScale());
    }
}
