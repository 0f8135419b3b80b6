package org.crocusturn.daemon.controlhosts;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.Decision;
import org.crocusturn.core.controlhosts.Consensus;
import org.crocusturn.core.controlhosts.ConsensusAction;
import org.crocusturn.core.controlhosts.ConsensusInput;
import org.crocusturn.core.controlhosts.ConsensusState;
import org.crocusturn.core.controlhosts.LogContent;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;

/** Owns the consensus state of this host, and runs its decisions and their actions. */
public final class ConsensusDuty implements DutyHandler<ConsensusEvent> {
    private static final Logger LOG = LogManager.getLogger(ConsensusDuty.class);

    /**
     * Time between two attempts to add persists to a full ring, or to apply commands while the
     * listener accepts none, in nanoseconds.
     */
    private static final long RETRY_INTERVAL_NANOS = 2_000_000;

    /** Time between timer calls before the start and after a failure, in nanoseconds. */
    private static final long IDLE_INTERVAL_NANOS = 1_000_000_000;

    private final ConsensusTransport mTransport;
    private final ConsensusListener mListener;
    private final Predicate<ConsensusAction.Persist> mPersistQueue;
    private final BiConsumer<Long, ProposalResult> mResults;
    private final Runnable mOnFailed;
    private final Queue<ConsensusAction.Persist> mPendingPersists = new ArrayDeque<>();
    private final Queue<ConsensusInput> mInputs = new ArrayDeque<>();
    private final List<CompletableFuture<Void>> mTransfers = new ArrayList<>();
    private ConsensusState mState;

    /** The state whose actions have been performed, for other threads. */
    private volatile ConsensusState mPublishedState;

    private volatile boolean mFailed;
    private boolean mStarted;

    private ConsensusDuty(
            ConsensusState state,
            ConsensusTransport transport,
            ConsensusListener listener,
            Predicate<ConsensusAction.Persist> persistQueue,
            BiConsumer<Long, ProposalResult> results,
            Runnable onFailed) {
        mState = state;
        mPublishedState = state;
        mTransport = transport;
        mListener = listener;
        mPersistQueue = persistQueue;
        mResults = results;
        mOnFailed = onFailed;
    }

    /**
     * Creates the handler.
     *
     * @param state initial state
     * @param transport sends messages to other members
     * @param listener owner of the applied state
     * @param persistQueue accepts persists in order; returns false if its ring is full
     * @param results consumer of the id and result of each proposal
     * @param onFailed called once when the member stops because of a failure
     */
    public static ConsensusDuty create(
            ConsensusState state,
            ConsensusTransport transport,
            ConsensusListener listener,
            Predicate<ConsensusAction.Persist> persistQueue,
            BiConsumer<Long, ProposalResult> results,
            Runnable onFailed) {
        return new ConsensusDuty(
                Objects.requireNonNull(state, "state"),
                Objects.requireNonNull(transport, "transport"),
                Objects.requireNonNull(listener, "listener"),
                Objects.requireNonNull(persistQueue, "persistQueue"),
                Objects.requireNonNull(results, "results"),
                Objects.requireNonNull(onFailed, "onFailed"));
    }

    /**
     * Returns the latest state whose entries have been applied. Safe for any thread.
     *
     * <p>A state that counts entries as applied must not be visible before the listener has applied
     * them. A new leader would otherwise answer reads with a configuration that is older than
     * acknowledged ones.
     */
    public ConsensusState state() {
        return mPublishedState;
    }

    /** Returns whether the member has stopped because of a failure. Safe for any thread. */
    public boolean failed() {
        return mFailed;
    }

    @Override
    public void onEvent(ConsensusEvent event) {
        if (event instanceof ConsensusEvent.Started) {
            mStarted = true;
        } else if (event instanceof ConsensusEvent.StorageFailed failed) {
            fail(failed.failure());
        } else if (event instanceof ConsensusEvent.TransferRequested transfer) {
            mTransfers.add(transfer.done());
            step(new ConsensusInput.TransferRequested());
        } else if (event instanceof ConsensusEvent.Input input && !rejectIfBlocked(input.input())) {
            updateApplyPaused();
            step(input.input());
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mFailed || !mStarted) {
            return nowNanos + IDLE_INTERVAL_NANOS;
        }
        flushPersists();
        updateApplyPaused();
        if (nowNanos - Consensus.nextTickNanos(mState) >= 0 || mState.hasEntriesToApply()) {
            step(new ConsensusInput.Tick());
        }
        return nextTimerNanos(nowNanos);
    }

    private long nextTimerNanos(long nowNanos) {
        if (mState.hasEntriesToApply()) {
            return nowNanos;
        }
        long next = Consensus.nextTickNanos(mState);
        return mPendingPersists.isEmpty() && !mState.applyPaused()
                ? next
                : Math.min(next, nowNanos + RETRY_INTERVAL_NANOS);
    }

    private void updateApplyPaused() {
        boolean paused = !mPendingPersists.isEmpty() || !mListener.acceptsCommands();
        if (paused != mState.applyPaused()) {
            step(new ConsensusInput.ApplyPaused(paused));
        }
    }

    /**
     * Rejects an input that could add persists while earlier ones are not yet in the storage ring,
     * and any input after a failure. A dropped message is safe because the network may lose it as
     * well.
     *
     * @return whether the input was rejected or dropped
     */
    private boolean rejectIfBlocked(ConsensusInput input) {
        if (mPendingPersists.isEmpty() && !mFailed) {
            return false;
        }
        if (input instanceof ConsensusInput.Propose propose) {
            rejectProposal(propose.proposalId());
        } else if (input instanceof ConsensusInput.ChangeMembership change) {
            rejectProposal(change.proposalId());
        }
        return mFailed || !(input instanceof ConsensusInput.Persisted);
    }

    private void rejectProposal(long proposalId) {
        String reason =
                mFailed
                        ? "this host has stopped after a failure"
                        : "the storage queue of this host is full";
        mResults.accept(proposalId, new ProposalResult.Rejected(reason, mState.leaderHint()));
    }

    private void step(ConsensusInput input) {
        mInputs.add(input);
        try {
            while (!mInputs.isEmpty() && !mFailed) {
                ConsensusState before = mState;
                Decision<ConsensusState, ConsensusAction> decision =
                        Consensus.step(before, mInputs.remove(), SteadyClock.nanoTime());
                mState = decision.state();
                decision.actions().forEach(this::perform);
                mPublishedState = mState;
                reportStateChange(before, mState);
            }
        } catch (RuntimeException e) {
            fail(e);
        }
    }

    private void reportStateChange(ConsensusState before, ConsensusState after) {
        if (!before.membership().equals(after.membership())) {
            LOG.info("controlhosts: the members changed to {}", after.membership().members());
            mListener.onMembershipChanged(after.membership());
        }
        if (before.hardState().recovering() && !after.hardState().recovering()) {
            LOG.info("controlhosts: recovery ended at index {}", after.commitIndex());
        }
        if (!mTransfers.isEmpty() && !isTransferring(after)) {
            mTransfers.forEach(done -> done.complete(null));
            mTransfers.clear();
        }
    }

    private static boolean isTransferring(ConsensusState state) {
        return state.leaderRole().filter(leader -> leader.transfer().isPresent()).isPresent();
    }

    private void perform(ConsensusAction action) {
        if (action instanceof ConsensusAction.Send send) {
            mTransport.send(send.to(), send.message());
        } else if (action instanceof ConsensusAction.Persist persist) {
            mPendingPersists.add(persist);
            flushPersists();
        } else if (action instanceof ConsensusAction.Apply apply) {
            if (apply.entry().content().loaded() instanceof LogContent.CommandContent content) {
                mListener.onCommitted(apply.entry().position().index(), content.command());
            }
        } else if (action instanceof ConsensusAction.Restore restore) {
            restore(restore.snapshot());
        } else if (action instanceof ConsensusAction.TakeSnapshot take) {
            // Queued as the next input because the remaining actions of this step must run first.
            mInputs.add(new ConsensusInput.SnapshotTaken(take.index(), mListener.controlState()));
        } else {
            reportResult(action);
        }
    }

    private void restore(Snapshot snapshot) {
        LOG.info("controlhosts: replacing the state with the snapshot at {}", snapshot.position());
        mListener.onRestored(snapshot);
    }

    private void reportResult(ConsensusAction action) {
        if (action instanceof ConsensusAction.ProposalCommitted done) {
            mResults.accept(done.proposalId(), new ProposalResult.Committed(done.index()));
        } else if (action instanceof ConsensusAction.ProposalRejected rejected) {
            mResults.accept(
                    rejected.proposalId(),
                    new ProposalResult.Rejected(rejected.reason(), rejected.leader()));
        } else if (action instanceof ConsensusAction.ProposalOutcomeUnknown unknown) {
            mResults.accept(unknown.proposalId(), new ProposalResult.Unknown());
        } else if (action instanceof ConsensusAction.LeadershipGained gained) {
            LOG.info("controlhosts: this host leads term {}", gained.term());
            mListener.onLeadershipGained(gained.term());
        } else if (action instanceof ConsensusAction.LeadershipLost lost) {
            LOG.info("controlhosts: this host no longer leads term {}", lost.term());
            mListener.onLeadershipLost(lost.term());
        }
    }

    private void flushPersists() {
        while (!mPendingPersists.isEmpty() && mPersistQueue.test(mPendingPersists.element())) {
            mPendingPersists.remove();
        }
    }

    private void fail(RuntimeException failure) {
        if (!mFailed) {
            mFailed = true;
            LOG.error(
                    "controlhosts: this member has stopped after a failure and needs a restart",
                    failure);
            mTransfers.forEach(done -> done.complete(null));
            mOnFailed.run();
            mListener.onFailure(failure);
        }
    }
}
