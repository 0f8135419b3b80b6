package org.crocusturn.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.GroupAnswer;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.ServedBy;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.StatementAnswer;
import org.crocusturn.core.callers.TransactionId;
import org.crocusturn.daemon.net.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against responses that report a different outcome than the actual one. */
class AnswerEncoderTest {
    static Stream<Arguments> answers() {
        StatementAnswer rows =
                new StatementAnswer(
                        List.of("a", "b"),
                        List.of(
                                List.of(
                                        SqlValue.NullValue.INSTANCE,
                                        new SqlValue.BooleanValue(true)),
                                List.of(
                                        new SqlValue.IntegerValue(Long.MAX_VALUE),
                                        new SqlValue.DecimalValue(new BigDecimal("1.50"))),
                                List.of(new SqlValue.TextValue("x\"y"))),
                        0,
                        new ServedBy(EndpointId.of("db-1"), Role.REPLICA, 3));
        TransactionId transaction =
                new TransactionId(GroupId.of("taftish-db", "a1"), 7, "0".repeat(32));
        return Stream.of(
                Arguments.of(
                        Optional.of(rows),
                        Optional.empty(),
                        200,
                        "{\"columns\":[\"a\",\"b\"],\"rows\":[[null,true],"
                                + "[9223372036854775807,1.50],[\"x\\\"y\"]],\"updated\":0,"
                                + "\"servedBy\":{\"endpoint\":\"db-1\",\"role\":\"replica\","
                                + "\"term\":3}}"),
                Arguments.of(
                        Optional.empty(),
                        Optional.of(transaction),
                        201,
                        "{\"transaction\":\"taftish-db~a1~7~" + "0".repeat(32) + "\"}"),
                Arguments.of(Optional.empty(), Optional.empty(), 200, "{}"));
    }

    @ParameterizedTest
    @MethodSource("answers")
    void encodesAnswers(
            Optional<StatementAnswer> statement,
            Optional<TransactionId> transaction,
            int status,
            String body) {
        GroupAnswer answer = new GroupAnswer(statement, transaction, SessionMark.NONE);
        HttpResponse response =
                AnswerEncoder.encode(CallerAnswer.of(new Outcome.Answered(answer), "token"));
        assertEquals(status, response.status());
        assertEquals(body, new String(response.body(), StandardCharsets.UTF_8));
        assertEquals(Optional.of("token"), response.header("Crocusturn-Session"));
    }

    @ParameterizedTest
    @CsvSource({
        "MALFORMED_REQUEST, NOT_RUN, 400",
        "DATABASE_REFUSED, NOT_RUN, 400",
        "SESSION_INVALID, NOT_RUN, 400",
        "KEY_REFUSED, NOT_RUN, 401",
        "FORBIDDEN, NOT_RUN, 403",
        "NOT_FOUND, NOT_RUN, 404",
        "CONFLICT, NOT_RUN, 409",
        "SESSION_LOST, NOT_RUN, 409",
        "TRANSACTION_LOST, NOT_RUN, 409",
        "TRANSACTION_LOST, MAY_HAVE_RUN, 504",
        "TOO_LARGE, NOT_RUN, 413",
        "RATE_LIMITED, NOT_RUN, 429",
        "OVERLOADED, NOT_RUN, 503",
        "UNAVAILABLE, NOT_RUN, 503",
        "UNAVAILABLE, RAN, 504",
        "UNAVAILABLE, MAY_HAVE_RUN, 504",
        "MOVED, NOT_RUN, 503",
        "TIMED_OUT, NOT_RUN, 503",
        "TIMED_OUT, MAY_HAVE_RUN, 504",
        "OUTCOME_UNKNOWN, MAY_HAVE_RUN, 504",
        "OUTCOME_UNKNOWN, RAN, 504",
        "INTERNAL, MAY_HAVE_RUN, 500"
    })
    void encodesFailures(ErrorCode code, Verdict verdict, int status) {
        Failure failure = new Failure(code, verdict, "text", Optional.empty());
        HttpResponse response = AnswerEncoder.encode(CallerAnswer.of(failure));
        assertEquals(status, response.status());
        assertEquals(
                "{\"code\":\""
                        + code.wireName()
                        + "\",\"message\":\"text\",\"verdict\":\""
                        + verdict.wireName()
                        + "\"}",
                new String(response.body(), StandardCharsets.UTF_8));
        assertEquals(
                status == 401 ? Optional.of("Bearer") : Optional.empty(),
                response.header("www-authenticate"));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1", "1000, 1", "1001, 2"})
    void setsRetryAfterHeader(long millis, String seconds) {
        Failure failure =
                Failure.notRun(ErrorCode.RATE_LIMITED, "over the rate")
                        .withRetryAfter(Duration.ofMillis(millis));
        HttpResponse response = AnswerEncoder.encode(CallerAnswer.of(failure));
        assertEquals(Optional.of(seconds), response.header("Retry-After"));
        assertTrue(
                new String(response.body(), StandardCharsets.UTF_8)
                        .endsWith("\"retryAfterMillis\":" + millis + "}"));
    }

    @Test
    void closesConnectionsOnRequest() {
        Failure failure = Failure.notRun(ErrorCode.UNAVAILABLE, "the host stops");
        assertTrue(AnswerEncoder.encode(CallerAnswer.of(failure).withClose()).closesConnection());
    }
}
