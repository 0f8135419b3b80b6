package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.controlhosts.GrantedTokens;

/** An input of a {@link GroupCoordinator}. */
public sealed interface GroupInput {
    /** The lease, the term, the primary, the copies or the configuration may have changed. */
    record ViewChanged(GroupView view) implements GroupInput {
        /** Rejects a null view. */
        public ViewChanged {
            Objects.requireNonNull(view, "view");
        }
    }

    /**
     * A request arrived from this or another entry host.
     *
     * @param origin host that received the request and gets the reply
     * @param epoch lease epoch known to the origin
     * @param request the request; its id is unique at the origin
     * @param secret fresh random string of 32 hexadecimal characters for the identifier of a
     *     transaction that the request may begin
     */
    record RequestArrived(HostId origin, long epoch, GroupRequest request, String secret)
            implements GroupInput {
        /** Rejects null components. */
        public RequestArrived {
            Objects.requireNonNull(origin, "origin");
            Objects.requireNonNull(request, "request");
            Objects.requireNonNull(secret, "secret");
        }
    }

    /** The group received rate tokens; each token is granted to a single group. */
    record TokensGranted(GrantedTokens grant) implements GroupInput {
        /** Rejects a null grant. */
        public TokensGranted {
            Objects.requireNonNull(grant, "grant");
        }
    }

    /** A connection was opened. */
    record ConnectionOpened(long connection) implements GroupInput {}

    /**
     * A connection could not be opened or has closed. The result of a command that runs on it
     * follows.
     */
    record ConnectionFailed(long connection) implements GroupInput {}

    /** A command ended; results of commands that are no longer running are ignored. */
    record ResultReceived(long connection, long command, DatabaseResult result)
            implements GroupInput {
        /** Rejects a null result. */
        public ResultReceived {
            Objects.requireNonNull(result, "result");
        }
    }

    /** The status monitor observed an endpoint at the time of the step. */
    record Observed(EndpointObservation observation) implements GroupInput {
        /** Rejects a null observation. */
        public Observed {
            Objects.requireNonNull(observation, "observation");
        }
    }

    /** The host is shutting down and hands the lease over. */
    record HandoverRequested() implements GroupInput {}

    /** Periodic timer tick. */
    record Tick() implements GroupInput {}
}
