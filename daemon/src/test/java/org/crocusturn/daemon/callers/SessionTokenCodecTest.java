package org.crocusturn.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.SessionToken;
import org.crocusturn.daemon.net.SharedSecret;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against forged session tokens and against the loss of their log positions. */
class SessionTokenCodecTest {
    private static final String ALPHABET =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_=+/ ";

    private static final SessionTokenCodec CODEC =
            SessionTokenCodec.of(SharedSecret.of("0123456789abcdef"));
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("schools");
    private static final SessionToken TOKEN = token(2);
    private static final String TEXT = CODEC.encode(TOKEN);

    static IntStream positions() {
        return IntStream.range(0, TEXT.length());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 10})
    void decodesEncodedTokens(int groups) {
        assertEquals(token(groups), CODEC.decode(CODEC.encode(token(groups)), WORKSPACE));
    }

    @ParameterizedTest
    @MethodSource("positions")
    void refusesEveryChangedCharacter(int position) {
        for (char other : ALPHABET.toCharArray()) {
            if (other != TEXT.charAt(position)) {
                assertRefused(
                        TEXT.substring(0, position) + other + TEXT.substring(position + 1),
                        CODEC,
                        WORKSPACE);
            }
        }
        assertRefused(TEXT.substring(0, position), CODEC, WORKSPACE);
        assertRefused(TEXT.substring(position + 1), CODEC, WORKSPACE);
    }

    @Test
    void refusesOtherSecretsAndWorkspaces() {
        assertRefused(TEXT, SessionTokenCodec.of(SharedSecret.of("0123456789abcdeF")), WORKSPACE);
        assertRefused(TEXT, CODEC, WorkspaceId.of("clinics"));
        assertRefused(TEXT + "=", CODEC, WORKSPACE);
        assertRefused("A".repeat(1 << 20), CODEC, WORKSPACE);
    }

    @Property(tries = 1_000, seed = "1")
    void refusesRandomTexts(@ForAll String text) {
        assertRefused(text, CODEC, WORKSPACE);
    }

    /** Guards against running a write whose session token would be too long to return. */
    @Test
    void rejectsGroupsThatExceedTokenCapacity() {
        int groups = 0;
        while (fits(groups)) {
            groups++;
            assertTrue(CODEC.encode(token(groups)).length() <= 4_096);
        }
        assertTrue(groups >= 11, "only " + groups + " groups fit");
    }

    private static boolean fits(int groups) {
        try {
            CODEC.requireCapacity(token(groups), group(groups));
            return true;
        } catch (CrocusturnException e) {
            assertEquals(ErrorCode.TOO_LARGE, e.failure().code());
            return false;
        }
    }

    private static void assertRefused(String text, SessionTokenCodec codec, WorkspaceId workspace) {
        CrocusturnException e =
                assertThrows(
                        CrocusturnException.class, () -> codec.decode(text, workspace), () -> text);
        assertEquals(ErrorCode.SESSION_INVALID, e.failure().code());
        assertEquals(Verdict.NOT_RUN, e.failure().verdict());
    }

    private static SessionToken token(int groups) {
        return IntStream.range(0, groups)
                .boxed()
                .reduce(
                        SessionToken.of(WORKSPACE),
                        (t, n) ->
                                t.withMark(
                                        group(n),
                                        new SessionMark(
                                                LogPosition.of(n + 1, Long.MAX_VALUE - n),
                                                LogPosition.of(n + 2, n))),
                        (a, b) -> b);
    }

    private static GroupId group(int number) {
        return GroupId.of("s".repeat(100), "d".repeat(97) + (100 + number));
    }
}
