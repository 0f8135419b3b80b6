package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.platform.Phase;

/** Input of {@link Ingress}. */
public sealed interface IngressInput {
    /** A caller sent a request. */
    record RequestReceived(CallerRequest request) implements IngressInput {
        /** Checks that the request is not null. */
        public RequestReceived {
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * The local coordinator or another host replied to an attempt.
     *
     * @param attempt id of the group request; a forward that could not be sent is reported as a
     *     failure with code UNAVAILABLE that did not run
     * @param outcome outcome of the attempt
     */
    record ReplyReceived(long attempt, Outcome outcome) implements IngressInput {
        /** Checks that the outcome is not null. */
        public ReplyReceived {
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /** The control view changed. */
    record ViewChanged(ControlView view) implements IngressInput {
        /** Checks that the view is not null. */
        public ViewChanged {
            Objects.requireNonNull(view, "view");
        }
    }

    /** The link to another entry host was lost; requests forwarded there get no reply. */
    record LinkLost(HostId host) implements IngressInput {
        /** Checks that the host is not null. */
        public LinkLost {
            Objects.requireNonNull(host, "host");
        }
    }

    /** The process changed its phase. */
    record PhaseChanged(Phase phase) implements IngressInput {
        /** Checks that the phase is not null. */
        public PhaseChanged {
            Objects.requireNonNull(phase, "phase");
        }
    }

    /** Time passed. */
    record Tick() implements IngressInput {}
}
