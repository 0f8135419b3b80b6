package org.crocusturn.core.endpoints;

import org.crocusturn.core.EndpointId;
import org.crocusturn.core.callers.Role;

/**
 * A command that was sent and whose result is pending.
 *
 * @param connection connection that runs the command
 * @param command number of the command
 * @param endpoint endpoint of the connection
 * @param role role that the endpoint is expected to have
 * @param term term that the command carries
 * @param pending request that the command belongs to
 * @param routing policy that chose the replica; null at the primary
 * @param deadlineNanos monotonic time from which the result is considered lost
 */
record RunningCommand(
        long connection,
        long command,
        EndpointId endpoint,
        Role role,
        long term,
        PendingRequest pending,
        RoutingPolicy routing,
        long deadlineNanos) {}
