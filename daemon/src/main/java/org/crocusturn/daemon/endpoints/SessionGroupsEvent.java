package org.crocusturn.daemon.endpoints;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.endpoints.AnswerMatch;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;

/** Event handled by {@link SessionGroupsDuty}. */
public sealed interface SessionGroupsEvent {
    /** A call of an entry host arrived; the origin identifies the link. */
    record CallArrived(HostId origin, SessionCall call) implements SessionGroupsEvent {
        /** Checks that no part is null. */
        public CallArrived {
            Objects.requireNonNull(origin, "origin");
            Objects.requireNonNull(call, "call");
        }
    }

    /** A session ended or abandoned its transaction. */
    record SessionEnded(HostId origin, SessionEnd end) implements SessionGroupsEvent {
        /** Checks that no part is null. */
        public SessionEnded {
            Objects.requireNonNull(origin, "origin");
            Objects.requireNonNull(end, "end");
        }
    }

    /**
     * The host ends: new calls are refused as not run.
     *
     * @param callsEnded completed once no call is queued or running and no transaction is open
     */
    record HostEnding(CompletableFuture<Void> callsEnded) implements SessionGroupsEvent {
        /** Checks that the future is not null. */
        public HostEnding {
            Objects.requireNonNull(callsEnded, "callsEnded");
        }
    }

    /** The link that an origin identifies was lost. */
    record OriginLost(HostId origin) implements SessionGroupsEvent {
        /** Checks that the origin is not null. */
        public OriginLost {
            Objects.requireNonNull(origin, "origin");
        }
    }

    /** The view of the replicated state or of the leases changed. */
    record ViewChanged(ControlView view) implements SessionGroupsEvent {
        /** Checks that the view is not null. */
        public ViewChanged {
            Objects.requireNonNull(view, "view");
        }
    }

    /** A connection is open and accepts commands. */
    record ConnectionOpened(long session) implements SessionGroupsEvent {}

    /** A connection received the result of its oldest outstanding command. */
    record ResultReceived(long session, SessionResult result) implements SessionGroupsEvent {
        /** Checks that the result is not null. */
        public ResultReceived {
            Objects.requireNonNull(result, "result");
        }
    }

    /** A connection received an answer that is not that of its outstanding command. */
    record SuspectAnswer(long session, AnswerMatch match, String text)
            implements SessionGroupsEvent {
        /** Checks that no part is null. */
        public SuspectAnswer {
            Objects.requireNonNull(match, "match");
            Objects.requireNonNull(text, "text");
        }

        /** Returns a description for log lines. */
        @Override
        public String toString() {
            return "connection " + session + " received an answer that is " + match + ": " + text;
        }
    }

    /** A connection was lost. */
    record ConnectionLost(long session, ConnectionLoss loss, String text)
            implements SessionGroupsEvent {
        /** Checks that no part is null. */
        public ConnectionLost {
            Objects.requireNonNull(loss, "loss");
            Objects.requireNonNull(text, "text");
        }
    }

    /** The platform answered a promotion request. */
    record PromotionAnswered(
            GroupId group, long epoch, EndpointId endpoint, PromotionService.Answer answer)
            implements SessionGroupsEvent {
        /** Checks that no part is null. */
        public PromotionAnswered {
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(answer, "answer");
        }
    }
}
