package org.crocusturn.daemon.callers;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ObjIntConsumer;
import org.apache.logging.log4j.LogManager;
import org.crocusturn.core.Decision;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.KeyCheck;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.ServedBy;
import org.crocusturn.core.callers.StatementAnswer;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.entryhosts.CallerRequest;
import org.crocusturn.core.entryhosts.Ingress;
import org.crocusturn.core.entryhosts.IngressAction;
import org.crocusturn.core.entryhosts.IngressInput;
import org.crocusturn.core.entryhosts.IngressState;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.DecisionLog;
import org.crocusturn.daemon.platform.Metrics;

/** Manages the requests that this host received from its callers. */
public final class IngressDuty implements DutyHandler<IngressEvent> {
    /** Tick interval while requests wait; bounds the delay of a retry. */
    private static final long BUSY_TICK_NANOS = 2_000_000;

    private static final long IDLE_TICK_NANOS = 50_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Ingress mIngress = Ingress.standard();
    private final RequestDispatcher mDispatcher;
    private final SessionTokenCodec mTokens;
    private final Metrics mMetrics;
    private final ObjIntConsumer<Phase> mOpenRequestListener;
    private final DecisionLog mLog =
            DecisionLog.create(LogManager.getLogger(IngressDuty.class), "callers");
    private final Map<Long, PendingRequest> mPendingRequests = new HashMap<>();
    private IngressState mState;
    private ControlView mView;
    private Phase mPhase = Phase.SERVING;
    private long mNextTickNanos;

    private IngressDuty(
            HostId self,
            ControlView view,
            RequestDispatcher dispatcher,
            SessionTokenCodec tokens,
            Metrics metrics,
            ObjIntConsumer<Phase> openRequestListener) {
        mDispatcher = dispatcher;
        mTokens = tokens;
        mMetrics = metrics;
        mOpenRequestListener = openRequestListener;
        mView = view;
        mState = IngressState.of(self, view);
    }

    /** Request that waits for an answer, with the time at which it was received. */
    private record PendingRequest(
            AnswerCallback callback, CallerRequest request, long receivedNanos) {}

    /**
     * Creates the handler.
     *
     * @param self this host
     * @param view initial view, without any replicated state
     * @param dispatcher sends requests to leaseholders
     * @param tokens signs session tokens
     * @param metrics metrics of the process
     * @param openRequestListener receives the number of open requests on each tick
     */
    public static IngressDuty create(
            HostId self,
            ControlView view,
            RequestDispatcher dispatcher,
            SessionTokenCodec tokens,
            Metrics metrics,
            ObjIntConsumer<Phase> openRequestListener) {
        return new IngressDuty(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(view, "view"),
                Objects.requireNonNull(dispatcher, "dispatcher"),
                Objects.requireNonNull(tokens, "tokens"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(openRequestListener, "openRequestListener"));
    }

    @Override
    public void onEvent(IngressEvent event) {
        if (event instanceof IngressEvent.RequestReceived received) {
            receive(received);
        } else if (event instanceof IngressEvent.ReplyReceived replied) {
            step(new IngressInput.ReplyReceived(replied.attempt(), replied.outcome()));
        } else if (event instanceof IngressEvent.LinkLost lost) {
            step(new IngressInput.LinkLost(lost.host()));
        } else if (event instanceof IngressEvent.ViewChanged changed) {
            mView = changed.view();
            step(new IngressInput.ViewChanged(changed.view()));
        } else if (event instanceof IngressEvent.PhaseChanged changed) {
            mPhase = changed.phase();
            step(new IngressInput.PhaseChanged(changed.phase()));
            mOpenRequestListener.accept(mPhase, mState.openCount());
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mNextTickNanos - nowNanos <= 0) {
            step(new IngressInput.Tick());
            mOpenRequestListener.accept(mPhase, mState.openCount());
            mMetrics.setFresh(mView.isFresh(nowNanos));
            mNextTickNanos =
                    nowNanos + (mState.waitingCount() > 0 ? BUSY_TICK_NANOS : IDLE_TICK_NANOS);
        }
        return mNextTickNanos;
    }

    private void receive(IngressEvent.RequestReceived received) {
        long now = SteadyClock.nanoTime();
        mPendingRequests.put(
                received.request().id(),
                new PendingRequest(received.callback(), received.request(), now));
        step(new IngressInput.RequestReceived(received.request()));
    }

    private void step(IngressInput input) {
        Decision<IngressState, IngressAction> decision =
                mIngress.step(mState, input, SteadyClock.nanoTime());
        mState = decision.state();
        decision.actions().forEach(this::execute);
        if (mState.waitingCount() > 0) {
            mNextTickNanos = Math.min(mNextTickNanos, SteadyClock.nanoTime() + BUSY_TICK_NANOS);
        }
    }

    private void execute(IngressAction action) {
        if (action instanceof IngressAction.HandleLocally local) {
            if (!mDispatcher.dispatchLocally(local.request(), local.epoch())) {
                onSendFailed(local.request().id());
            }
        } else if (action instanceof IngressAction.Forward forward) {
            if (!mDispatcher.forward(forward.host(), forward.address(), forward.request())) {
                onSendFailed(forward.request().request().id());
            }
        } else if (action instanceof IngressAction.Answer answer) {
            answer(answer);
        } else if (action instanceof IngressAction.Log log) {
            mLog.write("request " + log.request() + ": " + log.text(), SteadyClock.nanoTime());
        }
    }

    private void onSendFailed(long attempt) {
        step(
                new IngressInput.ReplyReceived(
                        attempt,
                        new Outcome.Failed(
                                Failure.notRun(
                                        ErrorCode.UNAVAILABLE,
                                        "the leaseholder cannot be reached"))));
    }

    private void answer(IngressAction.Answer answer) {
        PendingRequest pending = mPendingRequests.remove(answer.request());
        if (pending == null) {
            return;
        }
        Outcome outcome = replaceStaleAcknowledgement(pending, answer.outcome());
        Optional<String> token =
                outcome instanceof Outcome.Answered
                        ? answer.token().map(mTokens::encode)
                        : Optional.empty();
        // Callers must move to other hosts before this host starts refusing requests.
        boolean close = mPhase == Phase.LEAVING || mPhase == Phase.DRAINING;
        CallerAnswer result = new CallerAnswer(outcome, token, close);
        pending.callback().complete(result);
        recordMetrics(pending, outcome);
    }

    /**
     * Replaces the acknowledgement of a write with "may have run" if the freshness lease of this
     * host has expired. This is how a host detects that its process was suspended while the answer
     * was queued here.
     */
    private Outcome replaceStaleAcknowledgement(PendingRequest pending, Outcome outcome) {
        boolean acknowledgesWrite =
                outcome instanceof Outcome.Answered
                        && !(pending.request().operation() instanceof GroupOperation.Begin)
                        && !pending.request().operation().idempotent();
        if (acknowledgesWrite && !mView.isFresh(SteadyClock.nanoTime())) {
            return new Outcome.Failed(
                    Failure.mayHaveRun(
                            "this host had no current state from the control hosts"
                                    + " when it answered"));
        }
        return outcome;
    }

    private void recordMetrics(PendingRequest pending, Outcome outcome) {
        double seconds = (SteadyClock.nanoTime() - pending.receivedNanos()) / NANOS_PER_SECOND;
        String workspace =
                KeyCheck.of(mView.state(), pending.request().keyHash())
                        .workspace()
                        .map(id -> id.value())
                        .orElse("unknown");
        String verdict = Verdict.RAN.wireName();
        String role = "none";
        if (outcome instanceof Outcome.Failed failed) {
            verdict = failed.failure().verdict().wireName();
            mMetrics.recordRefusal(failed.failure().code().wireName());
        } else if (outcome instanceof Outcome.Answered answered) {
            role =
                    answered.answer()
                            .statement()
                            .map(StatementAnswer::servedBy)
                            .map(ServedBy::role)
                            .map(
                                    servingRole ->
                                            servingRole.name().toLowerCase(java.util.Locale.ROOT))
                            .orElse("none");
        }
        String operation = pending.request().operation().getClass().getSimpleName();
        mMetrics.recordRequest(workspace, verdict, role, operation, seconds);
    }
}
