package org.crocusturn.core.entryhosts;

import java.util.Optional;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;

/**
 * A caller's request that has not been answered. Immutable.
 *
 * @param request the request
 * @param workspace workspace of the caller's key
 * @param group group that runs the request
 * @param attempts number of attempts so far
 * @param attemptId id of the running attempt, or 0 while a retry is pending
 * @param target host that runs the attempt; empty while a retry is pending
 * @param nextAttemptNanos monotonic time of the next attempt while a retry is pending
 * @param mayHaveRun whether an earlier attempt may have taken effect
 */
record OpenRequest(
        CallerRequest request,
        WorkspaceId workspace,
        GroupId group,
        int attempts,
        long attemptId,
        Optional<HostId> target,
        long nextAttemptNanos,
        boolean mayHaveRun) {
    static OpenRequest of(
            CallerRequest request, WorkspaceId workspace, GroupId group, long nowNanos) {
        return new OpenRequest(request, workspace, group, 0, 0, Optional.empty(), nowNanos, false);
    }

    OpenRequest withAttempt(long id, HostId host) {
        return new OpenRequest(
                request,
                workspace,
                group,
                attempts + 1,
                id,
                Optional.of(host),
                nextAttemptNanos,
                mayHaveRun);
    }

    OpenRequest withRetryAt(long untilNanos, boolean outcomeUnknown) {
        return new OpenRequest(
                request,
                workspace,
                group,
                attempts,
                0,
                Optional.empty(),
                untilNanos,
                mayHaveRun || outcomeUnknown);
    }
}
