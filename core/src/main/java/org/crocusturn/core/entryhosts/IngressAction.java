package org.crocusturn.core.entryhosts;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.SessionToken;

/** Is what an {@link Ingress} wants done. */
public sealed interface IngressAction {
    /** Hand a request to the coordinator of its group on this host. */
    record HandLocal(GroupRequest request, long epoch) implements IngressAction {
        /** Checks that the request is not null. */
        public HandLocal {
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
     * Answer a caller; each request is answered once.
     *
     * @param request id of the caller's request
     * @param outcome its end
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

    /** Log a decision about a caller's request. */
    record Log(long request, String text) implements IngressAction {
        /** Checks that the text is not null. */
        public Log {
            Objects.requireNonNull(text, "text");
        }
    }
}
