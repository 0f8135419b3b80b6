package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.PersistentMap;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.TransactionId;

/**
 * The open transactions of a group.
 *
 * <p>Immutable. Lookups and changes cost one map access; {@link #expired} is linear in the number
 * of transactions.
 */
public final class TransactionTable {
    /** Time without an operation after which a transaction is rolled back. */
    public static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

    /** Time after its start at which a transaction is rolled back. */
    public static final Duration TOTAL_TIMEOUT = Duration.ofSeconds(30);

    /** The empty table. */
    public static final TransactionTable EMPTY = new TransactionTable(PersistentMap.empty());

    private final PersistentMap<TransactionId, OpenTransaction> mOpen;

    private TransactionTable(PersistentMap<TransactionId, OpenTransaction> open) {
        mOpen = open;
    }

    /**
     * An open transaction.
     *
     * @param id identifier of the transaction
     * @param workspace workspace that owns the transaction
     * @param connection connection pinned by the transaction
     * @param term term in which the transaction began
     * @param startedNanos monotonic time at which the transaction began
     * @param lastUsedNanos monotonic time at which the last operation ended
     * @param busy whether an operation is queued or running
     * @param wrote whether the transaction has run a write
     */
    public record OpenTransaction(
            TransactionId id,
            WorkspaceId workspace,
            long connection,
            long term,
            long startedNanos,
            long lastUsedNanos,
            boolean busy,
            boolean wrote) {
        /** Rejects null components. */
        public OpenTransaction {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(workspace, "workspace");
        }

        /** Returns a copy with a queued or running operation. */
        public OpenTransaction withBusy() {
            return new OpenTransaction(
                    id, workspace, connection, term, startedNanos, lastUsedNanos, true, wrote);
        }

        /** Returns a copy after an operation has ended. */
        public OpenTransaction withIdle(boolean write, long nowNanos) {
            return new OpenTransaction(
                    id, workspace, connection, term, startedNanos, nowNanos, false, wrote || write);
        }
    }

    /** Returns the number of open transactions. */
    public int size() {
        return mOpen.size();
    }

    /** Returns the open transaction with the given identifier. */
    public Optional<OpenTransaction> find(TransactionId id) {
        return mOpen.find(id);
    }

    /** Returns all open transactions. */
    public Stream<OpenTransaction> all() {
        return mOpen.values();
    }

    /**
     * Returns why an operation of a workspace on a transaction must be refused, or empty if it may
     * run.
     */
    public Optional<Failure> refusal(TransactionId id, WorkspaceId workspace) {
        OpenTransaction open = mOpen.get(id);
        if (open == null) {
            return refuse(ErrorCode.TRANSACTION_LOST, "the transaction is not open");
        }
        if (!open.workspace().equals(workspace)) {
            return refuse(ErrorCode.FORBIDDEN, "the transaction belongs to another workspace");
        }
        return open.busy()
                ? refuse(ErrorCode.CONFLICT, "the transaction has an unfinished operation")
                : Optional.empty();
    }

    private static Optional<Failure> refuse(ErrorCode code, String message) {
        return Optional.of(Failure.notRun(code, message));
    }

    /** Returns the transactions that exceed the idle or the total timeout. */
    public List<OpenTransaction> expired(long nowNanos) {
        return mOpen.values()
                .filter(
                        t ->
                                nowNanos - t.startedNanos() >= TOTAL_TIMEOUT.toNanos()
                                        || !t.busy()
                                                && nowNanos - t.lastUsedNanos()
                                                        >= IDLE_TIMEOUT.toNanos())
                .toList();
    }

    /** Returns a copy in which a transaction is added or replaced. */
    public TransactionTable with(OpenTransaction open) {
        return new TransactionTable(mOpen.with(open.id(), open));
    }

    /** Returns a copy without a transaction. */
    public TransactionTable without(TransactionId id) {
        return new TransactionTable(mOpen.without(id));
    }
}
