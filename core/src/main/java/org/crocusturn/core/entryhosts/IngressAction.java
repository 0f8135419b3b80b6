package org.crocusturn.core.entryhosts;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.SessionToken;

/** Action that the caller of {@link Ingress} has to perform. */
public sealed interface IngressAction {
    /** Pass a request to the coordinator of its group on this host. */
    record HandleLocally(GroupRequest request, long epoch) implements IngressAction {
        /** Checks that the request is not null. */
        public HandleLocally {
            Objects.requireNonNull(request, "request");
        }
    }

    /** Forward a request to another entry host. */
    record Forward(HostId host, String address, ForwardedRequest request) implements IngressAction {
        /** Checks that no part is null. */
        public Forward {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Answer a caller. Each request is answered exactly once.
     *
     * @param request id of the caller's request
     * @param outcome outcome of the request
     * @param token new session token; empty if the old one stays valid
     */
    record Answer(long request, Outcome outcome, Optional<SessionToken> token)
            implements IngressAction {
        /** Checks that no part is null. */
        public Answer {
            Objects.requireNonNull(outcome, "outcome");
            Objects.requireNonNull(token, "token");
        }
    }

    /** Write a log line about a caller's request. */
    record Log(long request, String text) implements IngressAction {
        /** Checks that the text is not null. */
        public Log {
            Objects.requireNonNull(text, "text");
        }
    }
}
