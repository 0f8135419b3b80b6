package org.crocusturn.daemon.wire;

import java.util.HashMap;
import java.util.Map;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.SessionToken;
import org.crocusturn.daemon.generated.CallersProto;

/** Converts session tokens to bytes and back; the bytes carry no signature. */
public final class SessionTokenMapper {
    private SessionTokenMapper() {}

    /** Returns the bytes of a token; equal tokens have equal bytes. */
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
     * Reads a token.
     *
     * @throws CrocusturnException if the bytes are malformed or of an unknown version
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
