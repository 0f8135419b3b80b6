package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.controlhosts.GrantedTokens;

/** Is what a {@link GroupCoordinator} has to react to. */
public sealed interface GroupInput {
    /** The lease, the term, the primary, the copies or the configuration may have changed. */
    record ViewChanged(GroupView view) implements GroupInput {
        /** Checks that the view is not null. */
        public ViewChanged {
            Objects.requireNonNull(view, "view");
        }
    }

    /**
     * A request came from an entry host, this one or another.
     *
     * @param origin host that took the request; the reply goes to it
     * @param epoch lease epoch that the origin knows
     * @param request the request; its id is used once by the origin
     * @param secret fresh unguessable text of 32 hexadecimal characters, used if a transaction
     *     begins
     */
    record RequestArrived(HostId origin, long epoch, GroupRequest request, String secret)
            implements GroupInput {
        /** Checks that no part is null. */
        public RequestArrived {
            Objects.requireNonNull(origin, "origin");
            Objects.requireNonNull(request, "request");
            Objects.requireNonNull(secret, "secret");
        }
    }

    /** This group got rate tokens; each token is given to one group only. */
    record TokensGranted(GrantedTokens grant) implements GroupInput {
        /** Checks that the grant is not null. */
        public TokensGranted {
            Objects.requireNonNull(grant, "grant");
        }
    }

    /** A connection was opened. */
    record ConnectionOpened(long connection) implements GroupInput {}

    /** A connection could not be opened or was closed by the other side. */
    record ConnectionFailed(long connection, Failure failure) implements GroupInput {
        /** Checks that the failure is not null. */
        public ConnectionFailed {
            Objects.requireNonNull(failure, "failure");
        }
    }

    /** A command ended; a result whose command is not the running one is ignored. */
    record ResultReceived(long connection, long command, DatabaseResult result)
            implements GroupInput {
        /** Checks that the result is not null. */
        public ResultReceived {
            Objects.requireNonNull(result, "result");
        }
    }

    /** The status monitor observed an endpoint, at the time of the step. */
    record Observed(EndpointObservation observation) implements GroupInput {
        /** Checks that the observation is not null. */
        public Observed {
            Objects.requireNonNull(observation, "observation");
        }
    }

    /** The host stops and wants to give the lease back. */
    record HandoverRequested() implements GroupInput {}

    /** Time passed. */
    record Tick() implements GroupInput {}
}
