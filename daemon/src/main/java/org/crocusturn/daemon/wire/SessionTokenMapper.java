package org.crocusturn.daemon.wire;

import java.util.HashMap;
import java.util.Map;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.SessionToken;
import org.crocusturn.daemon.generated.CallersProto;

/** Encodes and decodes session tokens; the encoding contains no signature. */
public final class SessionTokenMapper {
    private SessionTokenMapper() {}

    /** Encodes a token; equal tokens have equal encodings. */
    public static byte[] encode(SessionToken token) {
        CallersProto.SessionToken.Builder builder =
                CallersProto.SessionToken.newBuilder()
                        .setVersion(WireFormat.VERSION)
                        .setWorkspace(token.workspace().value());
        token.marks().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        e ->
                                builder.addMarks(
                                        CallersProto.GroupMark.newBuilder()
                                                .setGroup(CommonMapper.encode(e.getKey()))
                                                .setMark(RequestMapper.encode(e.getValue()))));
        return builder.build().toByteArray();
    }

    /**
     * Decodes a token.
     *
     * @throws CrocusturnException if the bytes are malformed or have an unknown version
     */
    public static SessionToken decode(byte[] bytes) {
        return WireFormat.decode(
                "session token", () -> decode(CallersProto.SessionToken.parseFrom(bytes)));
    }

    private static SessionToken decode(CallersProto.SessionToken value) {
        WireFormat.requireVersion(value.getVersion());
        Map<GroupId, SessionMark> marks = new HashMap<>();
        value.getMarksList()
                .forEach(
                        m ->
                                marks.put(
                                        CommonMapper.decode(m.getGroup()),
                                        RequestMapper.decode(m.getMark())));
        return new SessionToken(WorkspaceId.of(value.getWorkspace()), marks);
    }
}
