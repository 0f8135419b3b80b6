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
 * Signs session tokens and verifies those that callers send.
 *
 * <p>Immutable and thread-safe. The encoded form is the base64url encoding of the token's protobuf
 * bytes followed by their HMAC-SHA-256.
 */
public final class SessionTokenCodec {
    /** Maximum length of an encoded token; sufficient for 11 groups with the longest names. */
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

    /** Creates a codec whose key is derived from the secret of the entry hosts. */
    public static SessionTokenCodec of(SharedSecret secret) {
        return new SessionTokenCodec(secret.derive(KEY_LABEL));
    }

    /**
     * Encodes and signs a token.
     *
     * @throws IllegalArgumentException if the result is longer than {@link #MAX_CHARACTERS}, which
     *     {@link #requireCapacity} prevents
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
     * Checks before an operation runs that the token has space for its mark.
     *
     * @throws CrocusturnException with TOO_LARGE if the mark might not fit
     */
    public void requireCapacity(SessionToken token, GroupId group) {
        if (sign(token.withMark(group, LARGEST_MARK)).length() > MAX_CHARACTERS) {
            throw CrocusturnException.notRun(
                    ErrorCode.TOO_LARGE, "the session has used too many database groups");
        }
    }

    /**
     * Verifies and decodes a token.
     *
     * @param text encoded token
     * @param workspace workspace of the caller's key
     * @throws CrocusturnException with SESSION_INVALID if the text is not exactly the token that a
     *     host with the same secret signed for the workspace
     */
    public SessionToken decode(String text, WorkspaceId workspace) {
        SessionToken token = decode(text);
        if (!token.workspace().equals(workspace)) {
            throw invalid();
        }
        return token;
    }

    /**
     * Verifies and decodes a token without checking its workspace.
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
        // Unused bits of the last character, or padding, would allow several encodings of one
        // token.
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
