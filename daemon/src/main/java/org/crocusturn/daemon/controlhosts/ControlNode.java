package org.crocusturn.daemon.controlhosts;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.Consensus;
import org.crocusturn.core.controlhosts.ConsensusAction;
import org.crocusturn.core.controlhosts.ConsensusInput;
import org.crocusturn.core.controlhosts.ConsensusMessage;
import org.crocusturn.core.controlhosts.ConsensusState;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.MembershipChange;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.ring.BudgetedHandler;
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.core.ring.HeapShare;
import org.crocusturn.core.ring.SteadyClock;

/**
 * Runs the consensus duty and the storage duty of one member of the consensus group.
 *
 * <p>Safe for any thread. Futures are usually completed on the consensus thread, so dependent
 * stages must not block.
 */
public final class ControlNode implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlNode.class);

    private static final int RING_CAPACITY = 4_096;

    /** Minimum time between two lines about dropped messages, in nanoseconds. */
    private static final long DROP_LINE_INTERVAL_NANOS = 1_000_000_000;

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Maximum number of persists that wait for a full or stalled disk. Further ones wait in the
     * consensus duty, which then drops messages, so that the memory in use stays bounded.
     */
    static final int MAX_UNSYNCED_PERSISTS = 4_096;

    /** Size in memory of waiting persists from which no further one is accepted, in bytes. */
    static final long MAX_UNSYNCED_BYTES = 16L << 20;

    private final LogStorage mStorage;
    private final Map<Long, CompletableFuture<ProposalResult>> mPendingProposals =
            new ConcurrentHashMap<>();
    private final AtomicLong mNextProposal = new AtomicLong();
    private final ConsensusDuty mHandler;
    private final StorageDuty mStorageHandler;
    private final Duty<ConsensusAction.Persist> mStorageDuty;
    private final Duty<ConsensusEvent> mConsensusDuty;
    private final ByteBudget mInputBytes = HeapShare.SIXTEENTH.newBudget();
    private final AtomicLong mNextDropLineNanos = new AtomicLong(SteadyClock.nanoTime());
    private volatile boolean mClosed;

    /** Size of all persists that were queued; used only by the consensus thread. */
    private long mQueuedBytes;

    private ControlNode(
            LogStorage storage,
            ConsensusState state,
            ConsensusTransport transport,
            ConsensusListener listener) {
        mStorage = storage;
        mHandler =
                ConsensusDuty.create(
                        state,
                        transport,
                        listener,
                        this::enqueuePersist,
                        this::completeProposal,
                        this::abandonProposals);
        mStorageHandler =
                StorageDuty.create(storage, this::reportSynced, this::reportStorageFailure);
        mStorageDuty =
                Duty.start("control-storage", RING_CAPACITY, mStorageHandler, this::reportFailure);
        mConsensusDuty =
                Duty.start(
                        "control-consensus",
                        RING_CAPACITY,
                        BudgetedHandler.of(mHandler, mInputBytes, ControlNode::approximateBytes),
                        this::reportFailure);
    }

    /**
     * Starts a member.
     *
     * @param folder data folder; created if missing
     * @param self this host
     * @param bootstrapMembers members of a group that starts for the first time; empty for a host
     *     that joins a group. Used only if the folder is empty. With an empty folder and no
     *     members, the host starts as a learner until it has recovered. {@link FirstStartDuty}
     *     decides which of the two applies.
     * @param codec encodes entries and snapshots
     * @param transport sends messages to other members
     * @param listener owner of the applied state
     * @throws org.crocusturn.core.CrocusturnException if the folder is damaged or in use
     */
    public static ControlNode start(
            Path folder,
            HostId self,
            Optional<Membership> bootstrapMembers,
            LogCodec codec,
            ConsensusTransport transport,
            ConsensusListener listener) {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(bootstrapMembers, "bootstrapMembers");
        Objects.requireNonNull(transport, "transport");
        Objects.requireNonNull(listener, "listener");
        LogStorage storage = FileLogStorage.open(folder, codec);
        try {
            ConsensusState state = initialState(storage.load(), self, bootstrapMembers);
            listener.onRestored(state.log().base());
            listener.onMembershipChanged(state.membership());
            ControlNode node = new ControlNode(storage, state, transport, listener);
            node.mConsensusDuty.offer(new ConsensusEvent.Started());
            return node;
        } catch (RuntimeException e) {
            storage.close();
            throw e;
        }
    }

    /**
     * Returns whether a data folder holds the state of a member; creates the folder if missing.
     *
     * @throws org.crocusturn.core.CrocusturnException if the folder is damaged or in use
     */
    static boolean hasStoredState(Path folder, LogCodec codec) {
        FileLogStorage storage = FileLogStorage.open(folder, codec);
        try {
            return storage.hasStoredState();
        } finally {
            storage.close();
        }
    }

    private static ConsensusState initialState(
            Optional<StoredLog> stored, HostId self, Optional<Membership> bootstrapMembers) {
        long seed = new SecureRandom().nextLong();
        long now = SteadyClock.nanoTime();
        if (stored.isPresent()) {
            StoredLog log = stored.get();
            LOG.info(
                    "controlhosts: {} restarts with the snapshot at {} and {} log entries",
                    self,
                    log.snapshot().position(),
                    log.entries().size());
            return ConsensusState.restarted(
                    self, log.hardState(), log.snapshot(), log.entries(), seed, now);
        }
        LOG.info(
                "controlhosts: {} starts with an empty folder, starting a new group: {}",
                self,
                bootstrapMembers.isPresent());
        return bootstrapMembers
                .map(members -> ConsensusState.bootstrapping(self, members, seed, now))
                .orElseGet(() -> ConsensusState.recovering(self, seed, now));
    }

    /** Returns the leader that this member knows, if any. */
    public Optional<HostId> leaderHint() {
        return mHandler.state().leaderHint();
    }

    /** Returns whether this host is the leader and no other host can be leader now. */
    public boolean isLeaderLeaseValid() {
        return !mHandler.failed()
                && Consensus.isLeaderLeaseValid(mHandler.state(), SteadyClock.nanoTime());
    }

    /**
     * Returns whether a majority has answered messages that this leader sent after the given time.
     */
    public boolean isLeadershipConfirmedSince(long sinceNanos) {
        return !mHandler.failed()
                && Consensus.isLeadershipConfirmedSince(
                        mHandler.state(), sinceNanos, SteadyClock.nanoTime());
    }

    /** Returns the latest consensus state. */
    public ConsensusState state() {
        return mHandler.state();
    }

    /** Proposes a command. The future completes with the result of the proposal. */
    public CompletableFuture<ProposalResult> propose(ControlCommand command) {
        Objects.requireNonNull(command, "command");
        return submit(id -> new ConsensusInput.Propose(id, command));
    }

    /** Adds, promotes or removes a member. The future completes with the result of the proposal. */
    public CompletableFuture<ProposalResult> changeMembership(MembershipChange change) {
        Objects.requireNonNull(change, "change");
        return submit(id -> new ConsensusInput.ChangeMembership(id, change));
    }

    /**
     * Handles a message of another member, or drops it if the messages and proposals that wait for
     * the consensus duty are too many or too large. The network may lose a message as well.
     */
    public void onMessage(HostId from, ConsensusMessage message) {
        if (!offer(new ConsensusInput.Received(from, message))) {
            logDrop(from);
        }
    }

    private void logDrop(HostId from) {
        long now = SteadyClock.nanoTime();
        long due = mNextDropLineNanos.get();
        if (now - due >= 0
                && mNextDropLineNanos.compareAndSet(due, now + DROP_LINE_INTERVAL_NANOS)) {
            LOG.warn(
                    "controlhosts: dropping messages, such as one from {}, because {} bytes wait"
                            + " for the consensus duty",
                    from,
                    mInputBytes.usedBytes());
        }
    }

    /**
     * Transfers the leadership to another member. The future completes when this host is not the
     * leader or no other member can take over.
     */
    public CompletableFuture<Void> transferLeadership() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        if (!mConsensusDuty.offer(new ConsensusEvent.TransferRequested(done))) {
            done.complete(null);
        }
        return done;
    }

    /** Tells the leader that this host no longer counts, because it is about to stop. */
    void resign() {
        offer(new ConsensusInput.ResignRequested());
    }

    /** Transfers the leadership and stops the member; the result of open proposals is unknown. */
    public void stop() {
        transferLeadership()
                .completeOnTimeout(null, STOP_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS)
                .join();
        close();
    }

    /** Stops the member immediately; the result of open proposals is unknown. */
    @Override
    public void close() {
        mClosed = true;
        boolean stopped = mConsensusDuty.stop(STOP_TIMEOUT) && mStorageDuty.stop(STOP_TIMEOUT);
        if (stopped) {
            mStorage.close();
        } else {
            LOG.error("controlhosts: the member did not stop within {}", STOP_TIMEOUT);
        }
        abandonProposals();
    }

    private CompletableFuture<ProposalResult> submit(LongFunction<ConsensusInput> input) {
        long id = mNextProposal.incrementAndGet();
        CompletableFuture<ProposalResult> result = new CompletableFuture<>();
        mPendingProposals.put(id, result);
        if (mClosed || mHandler.failed() || !offer(input.apply(id))) {
            completeProposal(
                    id,
                    new ProposalResult.Rejected(
                            "this host does not accept proposals now", leaderHint()));
        } else if (mClosed || mHandler.failed()) {
            completeProposal(id, new ProposalResult.Unknown());
        }
        return result;
    }

    private boolean offer(ConsensusInput input) {
        long bytes = input.approximateBytes();
        if (!mInputBytes.tryReserveOrSole(bytes)) {
            return false;
        }
        boolean accepted = mConsensusDuty.offer(new ConsensusEvent.Input(input));
        if (!accepted) {
            mInputBytes.release(bytes);
        }
        return accepted;
    }

    private static long approximateBytes(ConsensusEvent event) {
        return event instanceof ConsensusEvent.Input input ? input.input().approximateBytes() : 0;
    }

    private void completeProposal(long id, ProposalResult result) {
        Optional.ofNullable(mPendingProposals.remove(id))
                .ifPresent(future -> future.complete(result));
    }

    private void abandonProposals() {
        mPendingProposals
                .keySet()
                .forEach(id -> completeProposal(id, new ProposalResult.Unknown()));
    }

    private boolean enqueuePersist(ConsensusAction.Persist persist) {
        long unsynced = persist.sequence() - mStorageHandler.syncedSequence();
        long unsyncedBytes = mQueuedBytes - mStorageHandler.syncedBytes();
        boolean queued =
                unsynced <= MAX_UNSYNCED_PERSISTS
                        && unsyncedBytes < MAX_UNSYNCED_BYTES
                        && mStorageDuty.offer(persist);
        mQueuedBytes += queued ? persist.approximateBytes() : 0;
        return queued;
    }

    private boolean reportSynced(long sequence) {
        return offer(new ConsensusInput.Persisted(sequence));
    }

    /** Reports a failure, or returns false if the ring of the consensus duty is full. */
    private boolean reportStorageFailure(RuntimeException failure) {
        return mClosed || mConsensusDuty.offer(new ConsensusEvent.StorageFailed(failure));
    }

    private void reportFailure(RuntimeException failure) {
        if (mClosed) {
            LOG.debug(
                    "controlhosts: a write was interrupted because the member was stopped",
                    failure);
            return;
        }
        LOG.error("controlhosts: the storage duty or the consensus duty failed", failure);
        mConsensusDuty.offer(new ConsensusEvent.StorageFailed(failure));
    }
}
