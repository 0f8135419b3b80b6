package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;

/**
 * Is a caller's operation on its way to the leaseholder; its key has been checked and left behind.
 *
 * @param id number that is unique within the entry host that took the request
 * @param workspace workspace of the caller's key
 * @param group group that the operation runs in
 * @param operation what to do
 * @param mark what the session has seen of the group
 * @param hasToken whether the caller sent a session token
 * @param timeoutMillis remaining time for the operation, in milliseconds
 */
public record GroupRequest(
        long id,
        WorkspaceId workspace,
        GroupId group,
        GroupOperation operation,
        SessionMark mark,
        boolean hasToken,
        long timeoutMillis) {
    /** Checks that no part is null. */
    public GroupRequest {
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(mark, "mark");
    }
}
