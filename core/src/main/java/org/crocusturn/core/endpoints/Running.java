package org.crocusturn.core.endpoints;

import org.crocusturn.core.EndpointId;
import org.crocusturn.core.callers.Role;

/**
 * Is a command whose result is awaited.
 *
 * @param connection connection that runs it
 * @param command number of the command
 * @param endpoint endpoint of the connection
 * @param role role in which the endpoint was asked
 * @param term term that the command carries
 * @param work request that it serves
 * @param routing policy that chose the copy
 * @param untilNanos monotonic time from which it counts as lost
 */
record Running(
        long connection,
        long command,
        EndpointId endpoint,
        Role role,
        long term,
        Work work,
        RoutingPolicy routing,
        long untilNanos) {}
