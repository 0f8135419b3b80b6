package org.crocusturn.core.callers;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;

/**
 * The state of a session. The caller sends it with each request, so that any entry host can
 * continue the session.
 *
 * @param workspace workspace that the token is bound to
 * @param marks positions that the session has seen, by group
 */
public record SessionToken(WorkspaceId workspace, Map<GroupId, SessionMark> marks) {
    /** Copies the marks. */
    public SessionToken {
        Objects.requireNonNull(workspace, "workspace");
        marks = Map.copyOf(marks);
    }

    /** Creates the token of a new session. */
    public static SessionToken of(WorkspaceId workspace) {
        return new SessionToken(workspace, Map.of());
    }

    /** Returns the positions that the session has seen in a group. */
    public SessionMark mark(GroupId group) {
        return marks.getOrDefault(group, SessionMark.NONE);
    }

    /** Returns a copy in which the mark of a group is replaced. */
    public SessionToken withMark(GroupId group, SessionMark mark) {
        Map<GroupId, SessionMark> copy = new HashMap<>(marks);
        copy.put(group, mark);
        return new SessionToken(workspace, copy);
    }
}
