package org.crocusturn.daemon.endpoints;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.crocusturn.core.HostId;

/** Open transactions of a group; used only by the thread of the group. */
final class OpenTransactions {
    private final LeasedGroup mGroup;
    private final GroupContext mContext;
    private final Map<OpenTransaction.Key, OpenTransaction> mTransactions = new HashMap<>();

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
        return mTransactions.values().stream().anyMatch(t -> !t.isReadOnly());
    }

    Optional<OpenTransaction> find(HostId origin, long session) {
        return Optional.ofNullable(mTransactions.get(new OpenTransaction.Key(origin, session)));
    }

    void add(OpenTransaction transaction) {
        mTransactions.put(transaction.key(), transaction);
    }

    void remove(OpenTransaction transaction) {
        mTransactions.remove(transaction.key());
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
        List.copyOf(mTransactions.values()).stream().filter(test).forEach(this::abandon);
    }

    /** Rolls back a transaction without a running statement and frees its connection. */
    void rollback(OpenTransaction transaction) {
        remove(transaction);
        RollbackTask task = new RollbackTask(mGroup);
        transaction.session().assign(task, mContext.nowNanos());
        task.start(transaction.session());
    }
}
