package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionOutcome;

/** Connects the groups with their duty; called from the thread of the duty. */
interface GroupPorts {
    /** Returns the steady time in nanoseconds. */
    long nowNanos();

    /** Returns whether the lease of a group is valid at this moment. */
    boolean leaseValid(GroupId group);

    /** Returns whether a workspace has a rate token left. */
    boolean hasToken(WorkspaceId workspace);

    /** Notes how long a call waited for a token and a slot, in nanoseconds. */
    void waited(long nanos);

    /** Takes a rate token of a workspace. */
    void takeToken(WorkspaceId workspace);

    /** Opens a connection for a task and adds it to the pool of its copy. */
    PooledSession open(CopyPool copy, WorkspaceId workspace, Duration timeout, SessionTask task);

    /** Closes a connection and removes it from the pool of its copy. */
    void close(PooledSession session);

    /** Answers a call. */
    void reply(HostId origin, long call, SessionOutcome outcome);

    /** Orders a promotion; the answer comes to the keeper of the group. */
    void promote(GroupId group, EndpointId endpoint, long fence);

    /** Asks the control leader for another epoch, because this one can order nothing any more. */
    void giveBack(GroupId group);

    /** Writes a line on a change of what the leaseholder believes; these are few. */
    void note(String line);

    /** Writes a line on a decision about one call; the rate is limited. */
    void log(String line);
}
