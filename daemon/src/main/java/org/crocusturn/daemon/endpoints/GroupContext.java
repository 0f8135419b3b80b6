package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.endpoints.PromotionFencing;
import org.crocusturn.daemon.platform.Metrics;

/** Services that a duty provides to its groups; called only from the thread of the duty. */
interface GroupContext {
    /** Returns the monotonic time in nanoseconds. */
    long nowNanos();

    /** Returns whether the lease of a group is valid at this moment. */
    boolean leaseValid(GroupId group);

    /** Returns whether a rate token of a workspace is available. */
    boolean hasToken(WorkspaceId workspace);

    /** Returns the metrics of the process. */
    Metrics metrics();

    /**
     * Returns the time in nanoseconds for which a new call of a workspace waits for a rate token;
     * empty if one is available.
     */
    Optional<Long> tokenWaitNanos(WorkspaceId workspace);

    /** Consumes a rate token of a workspace. */
    void takeToken(WorkspaceId workspace);

    /** Returns the meter of the requests that endpoints run. */
    UsageMeter usage();

    /** Opens a connection for a task and adds it to the pool of its copy. */
    PooledSession open(CopyPool copy, WorkspaceId workspace, Duration timeout, SessionTask task);

    /** Closes a connection and removes it from the pool of its copy. */
    void close(PooledSession session);

    /** Sends the outcome of a call to the process that it came from. */
    void reply(HostId origin, long call, SessionOutcome outcome);

    /**
     * Requests a promotion from the platform; {@link FailoverController#onPromotionAnswer} gets the
     * answer.
     */
    void promote(GroupId group, EndpointId endpoint, long fence);

    /**
     * Returns whether a promotion may be requested now. It may not while this host could take turns
     * with another leaseholder of the group.
     */
    boolean mayPromote(GroupId group, long fence);

    /** Returns how the platform treats the fencing numbers of promotions. */
    PromotionFencing fencing();

    /**
     * Returns the lease of a group to the control leader. The platform accepts no promotion under
     * its epoch any more, so the group needs a new one.
     */
    void returnLease(GroupId group);

    /** Logs a rare event, such as a change of the primary, without a rate limit. */
    void logEvent(String line);

    /** Logs a decision about a single call, subject to a rate limit. */
    void logDecision(String line);
}
