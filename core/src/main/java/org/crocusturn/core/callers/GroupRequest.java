package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;

/**
 * An operation of a caller, as forwarded to the leaseholder after the entry host has checked the
 * key. The key itself is not forwarded.
 *
 * @param id number that is unique within the entry host that received the request
 * @param workspace workspace of the caller's key
 * @param group group that the operation runs in
 * @param operation operation to run
 * @param mark positions that the session has seen in the group
 * @param hasToken whether the caller sent a session token
 * @param timeoutMillis time left for the operation, in milliseconds
 */
public record GroupRequest(
        long id,
        WorkspaceId workspace,
        GroupId group,
        GroupOperation operation,
        SessionMark mark,
        boolean hasToken,
        long timeoutMillis) {
    /** Checks that no component is null. */
    public GroupRequest {
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(mark, "mark");
    }
}
