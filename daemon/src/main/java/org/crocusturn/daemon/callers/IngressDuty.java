package org.crocusturn.daemon.callers;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntConsumer;
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

/** Owns the requests that this host took from its callers. */
public final class IngressDuty implements DutyHandler<IngressEvent> {
    /** Time between ticks while requests wait, in nanoseconds; bounds the delay of a retry. */
    private static final long BUSY_TICK_NANOS = 2_000_000;

    private static final long IDLE_TICK_NANOS = 50_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Ingress mIngress = Ingress.standard();
    private final RequestDispatcher mDispatcher;
    private final SessionTokenCodec mTokens;
    private final Metrics mMetrics;
    private final IntConsumer mOnBusy;
    private final DecisionLog mLog =
            DecisionLog.create(LogManager.getLogger(IngressDuty.class), "callers");
    private final Map<Long, Waiting> mReplies = new HashMap<>();
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
            IntConsumer onBusy) {
        mDispatcher = dispatcher;
        mTokens = tokens;
        mMetrics = metrics;
        mOnBusy = onBusy;
        mView = view;
        mState = IngressState.of(self, view);
    }

    /** Is a caller that waits for an answer, with the time at which the request came. */
    private record Waiting(CallerReply reply, CallerRequest request, long sinceNanos) {}

    /**
     * Creates the handler.
     *
     * @param self this host
     * @param view view of a host that knows nothing yet
     * @param dispatcher brings requests to leaseholders
     * @param tokens signs session tokens
     * @param metrics metrics of the process
     * @param onBusy told the number of open requests on each tick
     */
    public static IngressDuty create(
            HostId self,
            ControlView view,
            RequestDispatcher dispatcher,
            SessionTokenCodec tokens,
            Metrics metrics,
            IntConsumer onBusy) {
        return new IngressDuty(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(view, "view"),
                Objects.requireNonNull(dispatcher, "dispatcher"),
                Objects.requireNonNull(tokens, "tokens"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(onBusy, "onBusy"));
    }

    @Override
    public void onEvent(IngressEvent event) {
        if (event instanceof IngressEvent.Received received) {
            receive(received);
        } else if (event instanceof IngressEvent.Replied replied) {
            step(new IngressInput.ReplyReceived(replied.attempt(), replied.outcome()));
        } else if (event instanceof IngressEvent.LinkLost lost) {
            step(new IngressInput.LinkLost(lost.host()));
        } else if (event instanceof IngressEvent.ViewChanged changed) {
            mView = changed.view();
            step(new IngressInput.ViewChanged(changed.view()));
        } else if (event instanceof IngressEvent.PhaseChanged changed) {
            mPhase = changed.phase();
            step(new IngressInput.PhaseChanged(changed.phase()));
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mNextTickNanos - nowNanos <= 0) {
            step(new IngressInput.Tick());
            mOnBusy.accept(mState.openCount());
            mMetrics.setFresh(mView.isFresh(nowNanos));
            mNextTickNanos =
                    nowNanos + (mState.waitingCount() > 0 ? BUSY_TICK_NANOS : IDLE_TICK_NANOS);
        }
        return mNextTickNanos;
    }

    private void receive(IngressEvent.Received received) {
        long now = SteadyClock.nanoTime();
        mReplies.put(
                received.request().id(), new Waiting(received.reply(), received.request(), now));
        step(new IngressInput.RequestReceived(received.request()));
    }

    private void step(IngressInput input) {
        Decision<IngressState, IngressAction> decision =
                mIngress.step(mState, input, SteadyClock.nanoTime());
        mState = decision.state();
        decision.actions().forEach(this::perform);
        if (mState.waitingCount() > 0) {
            mNextTickNanos = Math.min(mNextTickNanos, SteadyClock.nanoTime() + BUSY_TICK_NANOS);
        }
    }

    private void perform(IngressAction action) {
        if (action instanceof IngressAction.HandleLocally local) {
            if (!mDispatcher.handLocal(local.request(), local.epoch())) {
                notSent(local.request().id());
            }
        } else if (action instanceof IngressAction.Forward forward) {
            if (!mDispatcher.forward(forward.host(), forward.address(), forward.request())) {
                notSent(forward.request().request().id());
            }
        } else if (action instanceof IngressAction.Answer answer) {
            answer(answer);
        } else if (action instanceof IngressAction.Log log) {
            mLog.write("request " + log.request() + ": " + log.text(), SteadyClock.nanoTime());
        }
    }

    private void notSent(long attempt) {
        step(
                new IngressInput.ReplyReceived(
                        attempt,
                        new Outcome.Failed(
                                Failure.notRun(
                                        ErrorCode.UNAVAILABLE,
                                        "the leaseholder cannot be reached"))));
    }

    private void answer(IngressAction.Answer answer) {
        Waiting waiting = mReplies.remove(answer.request());
        if (waiting == null) {
            return;
        }
        Outcome outcome = fenced(waiting, answer.outcome());
        Optional<String> token =
                outcome instanceof Outcome.Answered
                        ? answer.token().map(mTokens::encode)
                        : Optional.empty();
        // Callers have to leave open connections before the host refuses their requests.
        boolean close = mPhase == Phase.LEAVING || mPhase == Phase.DRAINING;
        CallerAnswer result = new CallerAnswer(outcome, token, close);
        waiting.reply().complete(result);
        count(waiting, outcome);
    }

    /**
     * Turns the acknowledgement of a write into "may have run" if this host lost its freshness
     * lease, which is how a host notices that it was frozen while the answer waited here.
     */
    private Outcome fenced(Waiting waiting, Outcome outcome) {
        boolean acknowledges =
                outcome instanceof Outcome.Answered
                        && !(waiting.request().operation() instanceof GroupOperation.Begin)
                        && !waiting.request().operation().idempotent();
        if (acknowledges && !mView.isFresh(SteadyClock.nanoTime())) {
            return new Outcome.Failed(
                    Failure.mayHaveRun("this host lost the control hosts before it answered"));
        }
        return outcome;
    }

    private void count(Waiting waiting, Outcome outcome) {
        double seconds = (SteadyClock.nanoTime() - waiting.sinceNanos()) / NANOS_PER_SECOND;
        String workspace =
                KeyCheck.of(mView.state(), waiting.request().keyHash())
                        .workspace()
                        .map(w -> w.value())
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
                            .map(r -> r.name().toLowerCase(java.util.Locale.ROOT))
                            .orElse("none");
        }
        String operation = waiting.request().operation().getClass().getSimpleName();
        mMetrics.recordRequest(workspace, verdict, role, operation, seconds);
    }
}
