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
 * Holds the open transactions of a group.
 *
 * <p>Immutable. Lookups and changes cost one map access; {@link #overdue} looks at each
 * transaction.
 */
public final class TransactionTable {
    /** A transaction without an operation for this time is rolled back. */
    public static final Duration IDLE_LIMIT = Duration.ofSeconds(10);

    /** A transaction that is open for this time is rolled back. */
    public static final Duration TOTAL_LIMIT = Duration.ofSeconds(30);

    /** The table without transactions. */
    public static final TransactionTable EMPTY = new TransactionTable(PersistentMap.empty());

    private final PersistentMap<TransactionId, Open> mOpen;

    private TransactionTable(PersistentMap<TransactionId, Open> open) {
        mOpen = open;
    }

    /**
     * Is an open transaction.
     *
     * @param id its identifier
     * @param workspace workspace that it belongs to
     * @param connection connection that it pins
     * @param term term in which it began
     * @param beganNanos monotonic time of its begin
     * @param usedNanos monotonic time of the end of its last operation
     * @param busy whether an operation waits or runs
     * @param wrote whether it ran a write
     */
    public record Open(
            TransactionId id,
            WorkspaceId workspace,
            long connection,
            long term,
            long beganNanos,
            long usedNanos,
            boolean busy,
            boolean wrote) {
        /** Checks that no part is null. */
        public Open {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(workspace, "workspace");
        }

        /** Returns a copy with an operation that waits or runs. */
        public Open withBusy() {
            return new Open(id, workspace, connection, term, beganNanos, usedNanos, true, wrote);
        }

        /** Returns a copy after the end of an operation. */
        public Open withIdle(boolean write, long nowNanos) {
            return new Open(
                    id, workspace, connection, term, beganNanos, nowNanos, false, wrote || write);
        }
    }

    /** Returns the number of open transactions. */
    public int size() {
        return mOpen.size();
    }

    /** Returns an open transaction. */
    public Optional<Open> find(TransactionId id) {
        return mOpen.find(id);
    }

    /** Returns all open transactions. */
    public Stream<Open> all() {
        return mOpen.values();
    }

    /** Returns why an operation of a workspace on a transaction is refused, if it is. */
    public Optional<Failure> refusal(TransactionId id, WorkspaceId workspace) {
        Open open = mOpen.get(id);
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

    /** Returns the transactions that have been idle or open for too long. */
    public List<Open> overdue(long nowNanos) {
        return mOpen.values()
                .filter(
                        t ->
                                nowNanos - t.beganNanos() >= TOTAL_LIMIT.toNanos()
                                        || !t.busy()
                                                && nowNanos - t.usedNanos() >= IDLE_LIMIT.toNanos())
                .toList();
    }

    /** Returns a copy with a transaction, new or changed. */
    public TransactionTable with(Open open) {
        return new TransactionTable(mOpen.with(open.id(), open));
    }

    /** Returns a copy without a transaction. */
    public TransactionTable without(TransactionId id) {
        return new TransactionTable(mOpen.without(id));
    }
}
