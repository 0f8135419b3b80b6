package org.crocusturn.daemon.callers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.SessionToken;
import org.crocusturn.daemon.net.SharedSecret;
import org.crocusturn.daemon.wire.SessionTokenMapper;

/**
 * Signs session tokens and checks the signatures of those that callers send.
 *
 * <p>Immutable and safe for any thread. The text is the base64url form of the token's protobuf
 * bytes and their HMAC-SHA-256.
 */
public final class SessionTokenCodec {
    /** Longest text of a token, in characters; fits 11 groups with the longest names. */
    public static final int MAX_CHARACTERS = 4_096;

    private static final byte[] KEY_LABEL =
            "crocusturn session token 1".getBytes(StandardCharsets.UTF_8);

    private static final SessionMark LARGEST_MARK =
            new SessionMark(
                    LogPosition.of(Long.MAX_VALUE, Long.MAX_VALUE),
                    LogPosition.of(Long.MAX_VALUE, Long.MAX_VALUE));

    private final SharedSecret mKey;

    private SessionTokenCodec(SharedSecret key) {
        mKey = key;
    }

    /** Creates a codec with a key that it derives from the secret of the entry hosts. */
    public static SessionTokenCodec of(SharedSecret secret) {
        return new SessionTokenCodec(secret.derive(KEY_LABEL));
    }

    /**
     * Returns the signed text of a token.
     *
     * @throws IllegalArgumentException if the text would be longer than {@link #MAX_CHARACTERS};
     *     {@link #requireCapacity} prevents it
     */
    public String encode(SessionToken token) {
        String text = sign(token);
        if (text.length() > MAX_CHARACTERS) {
            throw new IllegalArgumentException(
                    "the session token has " + text.length() + " characters");
        }
        return text;
    }

    /**
     * Checks, before an operation runs, that its mark will fit into the token.
     *
     * @throws CrocusturnException with TOO_LARGE if it might not
     */
    public void requireCapacity(SessionToken token, GroupId group) {
        if (sign(token.withMark(group, LARGEST_MARK)).length() > MAX_CHARACTERS) {
            throw CrocusturnException.notRun(
                    ErrorCode.TOO_LARGE, "the session has used too many database groups");
        }
    }

    /**
     * Reads the text of a token.
     *
     * @param text text that the caller sent
     * @param workspace workspace of the caller's key
     * @throws CrocusturnException with SESSION_INVALID if the text is not exactly what a host with
     *     the same secret signed for the workspace
     */
    public SessionToken decode(String text, WorkspaceId workspace) {
        SessionToken token = decode(text);
        if (!token.workspace().equals(workspace)) {
            throw invalid();
        }
        return token;
    }

    /**
     * Reads the text of a token whose workspace is compared later.
     *
     * @throws CrocusturnException with SESSION_INVALID if no host with the same secret signed it
     */
    public SessionToken decode(String text) {
        byte[] signed = decodeBase64Url(text);
        byte[] payload = Arrays.copyOf(signed, signed.length - SharedSecret.MAC_BYTES);
        byte[] mac = Arrays.copyOfRange(signed, payload.length, signed.length);
        if (!mKey.verify(mac, payload)) {
            throw invalid();
        }
        try {
            return SessionTokenMapper.decode(payload);
        } catch (CrocusturnException e) {
            throw invalid();
        }
    }

    private String sign(SessionToken token) {
        byte[] payload = SessionTokenMapper.encode(token);
        byte[] signed =
                ByteBuffer.allocate(payload.length + SharedSecret.MAC_BYTES)
                        .put(payload)
                        .put(mKey.mac(payload))
                        .array();
        return Base64.getUrlEncoder().withoutPadding().encodeToString(signed);
    }

    private static byte[] decodeBase64Url(String text) {
        if (text.length() > MAX_CHARACTERS) {
            throw invalid();
        }
        byte[] bytes;
        try {
            bytes = Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw invalid();
        }
        // Unused bits of the last character or padding would give one token several texts.
        boolean canonical =
                Base64.getUrlEncoder().withoutPadding().encodeToString(bytes).equals(text);
        if (!canonical || bytes.length < SharedSecret.MAC_BYTES) {
            throw invalid();
        }
        return bytes;
    }

    private static CrocusturnException invalid() {
        return CrocusturnException.notRun(
                ErrorCode.SESSION_INVALID, "the session token is not valid for this workspace");
    }
}
