package org.crocusturn.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.callers.TransactionId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against several encodings of one transaction id and against unhandled input. */
class TransactionIdCodecTest {
    private static final String SECRET = "0123456789abcdef0123456789abcdef";

    @ParameterizedTest
    @CsvSource({"taftish-db, a1, 0", "a, b, 9223372036854775807", "a.b_c-d, 9, 12"})
    void decodesEncodedIds(String service, String database, long epoch) {
        TransactionId id = new TransactionId(GroupId.of(service, database), epoch, SECRET);
        assertEquals(id, TransactionIdCodec.decode(TransactionIdCodec.encode(id)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "a~b~1",
                "a~b~01~" + SECRET,
                "a~b~-1~" + SECRET,
                "a~b~9223372036854775808~" + SECRET,
                "a~b~1~" + SECRET + "0",
                "a~b~1~0123456789ABCDEF0123456789ABCDEF",
                "a~.b~1~" + SECRET,
                "a~b~1~" + SECRET + "\n",
                "a~b~c~1~" + SECRET
            })
    void refusesMalformedTexts(String text) {
        CrocusturnException e =
                assertThrows(CrocusturnException.class, () -> TransactionIdCodec.decode(text));
        assertEquals(ErrorCode.NOT_FOUND, e.failure().code());
    }

    @Property(tries = 1_000, seed = "1")
    void refusesRandomTexts(@ForAll String text) {
        assertThrows(CrocusturnException.class, () -> TransactionIdCodec.decode(text));
    }

    @Property(tries = 1_000, seed = "1")
    void limitsEncodedLength(@ForAll long epoch) {
        String name = "n".repeat(100);
        String text =
                TransactionIdCodec.encode(
                        new TransactionId(GroupId.of(name, name), epoch & Long.MAX_VALUE, SECRET));
        assertTrue(text.length() <= TransactionIdCodec.MAX_CHARACTERS);
    }
}
