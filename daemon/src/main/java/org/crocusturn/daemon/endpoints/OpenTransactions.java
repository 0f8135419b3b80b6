package org.crocusturn.daemon.endpoints;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.crocusturn.core.HostId;

/**
 * Open transactions of a group; used only by the thread of the group.
 *
 * <p>A session has at most one transaction that is not abandoned. An abandoned one remains until
 * its running statement has ended.
 */
final class OpenTransactions {
    private final LeasedGroup mGroup;
    private final GroupContext mContext;
    private final Set<OpenTransaction> mTransactions = new HashSet<>();

    OpenTransactions(LeasedGroup group, GroupContext context) {
        mGroup = group;
        mContext = context;
    }

    int size() {
        return mTransactions.size();
    }

    boolean isEmpty() {
        return mTransactions.isEmpty();
    }

    boolean hasReadWrite() {
        return mTransactions.stream().anyMatch(t -> !t.isReadOnly());
    }

    /** Returns the transaction of a session that has not been abandoned. */
    Optional<OpenTransaction> find(HostId origin, long session) {
        OpenTransaction.Key key = new OpenTransaction.Key(origin, session);
        return mTransactions.stream()
                .filter(t -> !t.isAbandoned() && t.key().equals(key))
                .findFirst();
    }

    void add(OpenTransaction transaction) {
        mTransactions.add(transaction);
    }

    void remove(OpenTransaction transaction) {
        mTransactions.remove(transaction);
    }

    /** Rolls a transaction back, after its running statement has ended if there is one. */
    void abandon(OpenTransaction transaction) {
        transaction.abandon();
        if (transaction.run().isEmpty()) {
            rollback(transaction);
        }
    }

    /** Abandons the transactions that match a predicate. */
    void abandonAll(Predicate<OpenTransaction> test) {
        List.copyOf(mTransactions).stream().filter(test).forEach(this::abandon);
    }

    /** Rolls back a transaction without a running statement and frees its connection. */
    void rollback(OpenTransaction transaction) {
        remove(transaction);
        RollbackTask task = new RollbackTask(mGroup);
        transaction.session().assign(task, mContext.nowNanos());
        task.start(transaction.session());
    }
}
