package org.crocusturn.daemon.callers;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.platform.Phase;

/** Event of {@link SessionsDuty}. */
public sealed interface SessionEvent {
    /**
     * A caller requested a session.
     *
     * @param session number of the session
     * @param channel channel to the caller
     * @param database requested database name
     * @param keyHash SHA-256 of the caller's key in lower-case hexadecimal; empty without a key
     */
    record OpenRequested(long session, SessionChannel channel, String database, String keyHash)
            implements SessionEvent {
        /** Checks that no part is null. */
        public OpenRequested {
            Objects.requireNonNull(channel, "channel");
            Objects.requireNonNull(database, "database");
            Objects.requireNonNull(keyHash, "keyHash");
        }
    }

    /** A caller sent a statement. */
    record StatementReceived(long session, SessionStatement statement) implements SessionEvent {
        /** Checks that the statement is not null. */
        public StatementReceived {
            Objects.requireNonNull(statement, "statement");
        }
    }

    /** A session ended because the caller ended it or the connection closed. */
    record SessionEnded(long session) implements SessionEvent {}

    /** A leaseholder replied to a call. */
    record ReplyReceived(SessionReply reply) implements SessionEvent {
        /** Checks that the reply is not null. */
        public ReplyReceived {
            Objects.requireNonNull(reply, "reply");
        }
    }

    /** The link to another entry host was lost. */
    record LinkLost(HostId host) implements SessionEvent {
        /** Checks that the host is not null. */
        public LinkLost {
            Objects.requireNonNull(host, "host");
        }
    }

    /** The control view changed. */
    record ViewChanged(ControlView view) implements SessionEvent {
        /** Checks that the view is not null. */
        public ViewChanged {
            Objects.requireNonNull(view, "view");
        }
    }

    /** The time for answers at a planned stop is over; the connections are closed next. */
    record HostEnding() implements SessionEvent {}

    /** The process entered another phase. */
    record PhaseChanged(Phase phase) implements SessionEvent {
        /** Checks that the phase is not null. */
        public PhaseChanged {
            Objects.requireNonNull(phase, "phase");
        }
    }
}
