package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.daemon.net.Json;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against values that lose their type or precision when they are encoded. */
class EndpointJsonTest {
    @ParameterizedTest
    @MethodSource("values")
    void valueRoundTrips(SqlValue value, String json) {
        assertEquals(json, new String(Json.write(EndpointJson.value(value)), UTF_8));
        assertEquals(value, EndpointJson.value(Json.read(json.getBytes(UTF_8)), "v"));
    }

    private static final java.nio.charset.Charset UTF_8 = StandardCharsets.UTF_8;

    static Stream<Arguments> values() {
        return Stream.of(
                        Arguments.of(SqlValue.NullValue.INSTANCE, "null"),
                        Arguments.of(new SqlValue.BooleanValue(false), "false"),
                        Arguments.of(
                                new SqlValue.IntegerValue(Long.MAX_VALUE), "9223372036854775807"),
                        Arguments.of(
                                new SqlValue.IntegerValue(Long.MIN_VALUE), "-9223372036854775808"),
                        Arguments.of(decimal("1.00"), "{\"decimal\":\"1.00\"}"),
                        Arguments.of(decimal("1E+3"), "{\"decimal\":\"1E+3\"}"),
                        Arguments.of(decimal("-0.000000000000000000012345678901234567890"), null),
                        Arguments.of(new SqlValue.TextValue(""), "\"\""),
                        Arguments.of(new SqlValue.TextValue("1"), "\"1\""),
                        Arguments.of(new SqlValue.TextValue("قلعة\u0000\n\"🙂"), null))
                .map(
                        a ->
                                a.get()[1] != null
                                        ? a
                                        : Arguments.of(
                                                a.get()[0],
                                                new String(
                                                        Json.write(
                                                                EndpointJson.value(
                                                                        (SqlValue) a.get()[0])),
                                                        UTF_8)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "1.5",
                "1e3",
                "9223372036854775808",
                "[]",
                "{}",
                "{\"decimal\":1}",
                "{\"decimal\":\"x\"}",
                "{\"decimal\":\"1e999999999\"}",
                "{\"decimal\":\"1\",\"x\":1}"
            })
    void refusesInvalidEncoding(String json) {
        var refused =
                assertThrows(
                        CrocusturnException.class,
                        () ->
                                EndpointJson.values(
                                        Json.read(("[" + json + "]").getBytes(UTF_8)), "rows"));
        assertEquals(Verdict.NOT_RUN, refused.failure().verdict());
        assertTrue(refused.getMessage().contains("rows[0]"), refused::getMessage);
    }

    private static SqlValue decimal(String text) {
        return new SqlValue.DecimalValue(new BigDecimal(text));
    }

    /** Guards against a term without a successor, which no failover could exceed. */
    @ParameterizedTest
    @CsvSource({
        "9223372036854775806, 9223372036854775806, 9223372036854775807, 9223372036854775807, true",
        "0, 0, 0, 0, true",
        "9223372036854775807, 1, 1, 0, false",
        "1, 9223372036854775807, 1, 0, false",
        "9223372036854775808, 1, 1, 0, false",
        "1, 1, 9223372036854775808, 0, false",
        "1, 1, 1, 9223372036854775808, false",
        "-1, 1, 1, 0, false",
        "1, 1, -1, 0, false",
        "1.5, 1, 1, 0, false",
        "1e3, 1, 1, 0, false"
    })
    void readsTheNumbersOfAStatus(
            String term, String logTerm, String logIndex, String lag, boolean valid) {
        byte[] json =
                ("{\"database\":\"d\",\"role\":\"primary\",\"term\":"
                                + term
                                + ",\"logTerm\":"
                                + logTerm
                                + ",\"logIndex\":"
                                + logIndex
                                + ",\"lagMillis\":"
                                + lag
                                + "}")
                        .getBytes(UTF_8);
        if (valid) {
            assertTrue(EndpointJson.status(Json.read(json)).term() + 1 > 0);
        } else {
            assertThrows(CrocusturnException.class, () -> EndpointJson.status(Json.read(json)));
        }
    }
}
