package org.crocusturn.daemon.callers;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.entryhosts.CallerRequest;
import org.crocusturn.core.platform.Phase;

/** Event of {@link IngressDuty}. */
public sealed interface IngressEvent {
    /** A caller sent a request. */
    record RequestReceived(CallerRequest request, AnswerCallback callback) implements IngressEvent {
        /** Checks that no part is null. */
        public RequestReceived {
            Objects.requireNonNull(request, "request");
            Objects.requireNonNull(callback, "callback");
        }
    }

    /** A leaseholder replied to an attempt. */
    record ReplyReceived(long attempt, Outcome outcome) implements IngressEvent {
        /** Checks that the outcome is not null. */
        public ReplyReceived {
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /** The link to another entry host was lost. */
    record LinkLost(HostId host) implements IngressEvent {
        /** Checks that the host is not null. */
        public LinkLost {
            Objects.requireNonNull(host, "host");
        }
    }

    /** The control view changed. */
    record ViewChanged(ControlView view) implements IngressEvent {
        /** Checks that the view is not null. */
        public ViewChanged {
            Objects.requireNonNull(view, "view");
        }
    }

    /** The process entered another phase. */
    record PhaseChanged(Phase phase) implements IngressEvent {
        /** Checks that the phase is not null. */
        public PhaseChanged {
            Objects.requireNonNull(phase, "phase");
        }
    }
}
