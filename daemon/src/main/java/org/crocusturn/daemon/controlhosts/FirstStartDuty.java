package org.crocusturn.daemon.controlhosts;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.Decision;
import org.crocusturn.core.controlhosts.FirstStart;
import org.crocusturn.core.controlhosts.FirstStartAction;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;

/**
 * Asks the other control hosts whether this host may start a group, and answers their questions at
 * any time.
 */
final class FirstStartDuty implements DutyHandler<FirstStartEvent> {
    private static final Logger LOG = LogManager.getLogger(FirstStartDuty.class);

    /** Interval between two rounds of questions, in nanoseconds. */
    private static final long QUERY_INTERVAL_NANOS = 100_000_000;

    /** Interval of timer calls once the first start is decided, in nanoseconds. */
    private static final long IDLE_INTERVAL_NANOS = 60_000_000_000L;

    /** Rounds of questions between two warnings about missing answers; 50 rounds take 5 s. */
    private static final int ROUNDS_PER_WARNING = 50;

    private final FirstStartFile mFile;
    private final BooleanSupplier mHasLog;
    private final Consumer<FirstStartAction> mOutput;
    private FirstStart mState;
    private long mNextQueryNanos = SteadyClock.nanoTime();
    private int mRounds;

    private FirstStartDuty(
            FirstStart state,
            FirstStartFile file,
            BooleanSupplier hasLog,
            Consumer<FirstStartAction> output) {
        mState = state;
        mFile = file;
        mHasLog = hasLog;
        mOutput = output;
    }

    /**
     * Creates the handler.
     *
     * @param state initial state
     * @param file stores the start ids
     * @param hasLog returns whether this host has a term, a log entry or a snapshot
     * @param output sends messages and starts the member
     */
    static FirstStartDuty create(
            FirstStart state,
            FirstStartFile file,
            BooleanSupplier hasLog,
            Consumer<FirstStartAction> output) {
        return new FirstStartDuty(
                Objects.requireNonNull(state, "state"),
                Objects.requireNonNull(file, "file"),
                Objects.requireNonNull(hasLog, "hasLog"),
                Objects.requireNonNull(output, "output"));
    }

    @Override
    public void onEvent(FirstStartEvent event) {
        if (event instanceof FirstStartEvent.QuestionReceived received) {
            applyDecision(
                    mState.onQuestion(
                            received.from(), received.question(), mHasLog.getAsBoolean()));
        } else if (event instanceof FirstStartEvent.AnswerReceived received) {
            LOG.debug(
                    "controlhosts: first start answer from {}: {}",
                    received.from(),
                    received.answer());
            applyDecision(mState.onAnswer(received.from(), received.answer()));
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (!mState.undecided()) {
            return nowNanos + IDLE_INTERVAL_NANOS;
        }
        if (nowNanos - mNextQueryNanos >= 0) {
            mNextQueryNanos = nowNanos + QUERY_INTERVAL_NANOS;
            if (mRounds++ % ROUNDS_PER_WARNING == ROUNDS_PER_WARNING - 1) {
                LOG.warn(
                        "controlhosts: the first start waits for {}, answers so far {}",
                        mState.unconfirmedMembers(),
                        mState.answers());
            }
            applyDecision(mState.tick());
        }
        return mNextQueryNanos;
    }

    /**
     * Performs the actions before the state is replaced, so that a failed save leaves the old
     * state. Only a start replaces the state first.
     */
    private void applyDecision(Decision<FirstStart, FirstStartAction> decision) {
        for (FirstStartAction action : decision.actions()) {
            if (action instanceof FirstStartAction.Save save) {
                mFile.save(save.ids());
            } else if (action instanceof FirstStartAction.Start start) {
                LOG.info(
                        "controlhosts: the first start answers are {}, this is {}",
                        decision.state().answers(),
                        start.startsGroup() ? "a first start" : "a recovery");
                mState = decision.state();
                mOutput.accept(action);
            } else {
                mOutput.accept(action);
            }
        }
        mState = decision.state();
    }
}
