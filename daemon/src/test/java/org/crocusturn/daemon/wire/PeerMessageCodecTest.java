package org.crocusturn.daemon.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.math.BigDecimal;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.daemon.generated.PeerProto;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against fields lost in encoding, and against bytes that make the decoder fail. */
class PeerMessageCodecTest {
    private static final List<byte[]> ENCODED =
            WireSamples.messages().map(PeerMessageCodec::encode).toList();

    static Stream<PeerMessage> messages() {
        return WireSamples.messages();
    }

    @ParameterizedTest
    @MethodSource("messages")
    void roundTripsEveryField(PeerMessage message) {
        assertEquals(message, PeerMessageCodec.decode(PeerMessageCodec.encode(message)));
    }

    /** Guards against message types of core without an encoding or without a sample. */
    @Test
    void encodesEveryMessageOfCore() {
        var declared =
                new ClassFileImporter()
                                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                                .importPackages("org.crocusturn.core")
                                .stream()
                                .filter(c -> c.isAssignableTo(PeerMessage.class) && c.isRecord())
                                .map(JavaClass::reflect)
                                .collect(Collectors.toSet());
        assertTrue(declared.size() >= 14, "found only " + declared);
        assertEquals(declared, PeerMessageCodec.messageTypes());
        assertEquals(declared, messages().map(PeerMessage::getClass).collect(Collectors.toSet()));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 2, 77, -1})
    void refusesUnknownVersions(int version) throws Exception {
        for (byte[] bytes : ENCODED) {
            byte[] changed =
                    PeerProto.Envelope.parseFrom(bytes).toBuilder()
                            .setVersion(version)
                            .build()
                            .toByteArray();
            assertThrows(CrocusturnException.class, () -> PeerMessageCodec.decode(changed));
        }
    }

    /** Guards against truncated messages that are decoded as messages of another type. */
    @Test
    void refusesTruncatedMessages() {
        for (byte[] bytes : ENCODED) {
            PeerMessage whole = PeerMessageCodec.decode(bytes);
            for (int length = 0; length < bytes.length; length++) {
                byte[] truncated = Arrays.copyOf(bytes, length);
                try {
                    PeerMessage shorter = PeerMessageCodec.decode(truncated);
                    assertTrue(whole.getClass() == shorter.getClass() && length > 1);
                } catch (CrocusturnException e) {
                    assertTrue(e.getMessage().contains("malformed"));
                }
            }
        }
    }

    @Property(tries = 2_000, seed = "1")
    void decodesOrRefusesRandomBytes(@ForAll byte[] bytes) {
        decodeOrRefuse(bytes);
    }

    @Property(tries = 2_000, seed = "1")
    void decodesOrRefusesChangedBytes(
            @ForAll @IntRange(max = 100_000) int sample,
            @ForAll @IntRange(max = 100_000) int position,
            @ForAll byte value) {
        byte[] bytes = ENCODED.get(sample % ENCODED.size()).clone();
        bytes[position % bytes.length] = value;
        decodeOrRefuse(bytes);
    }

    @Property(tries = 500, seed = "1")
    void roundTripsStatementValues(
            @ForAll String text, @ForAll long number, @ForAll BigDecimal decimal) {
        String valid =
                new String(
                        text.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                        java.nio.charset.StandardCharsets.UTF_8);
        Statement statement =
                Statement.write(
                        valid,
                        new SqlValue.TextValue(valid),
                        new SqlValue.IntegerValue(number),
                        new SqlValue.DecimalValue(decimal));
        PeerMessage message = WireSamples.request(new GroupOperation.Execute(statement));
        assertEquals(message, PeerMessageCodec.decode(PeerMessageCodec.encode(message)));
    }

    private static void decodeOrRefuse(byte[] bytes) {
        try {
            PeerMessageCodec.decode(bytes);
        } catch (CrocusturnException e) {
            assertTrue(e.failure().message().contains("malformed"));
        }
    }
}
