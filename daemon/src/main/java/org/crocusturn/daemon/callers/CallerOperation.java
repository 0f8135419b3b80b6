package org.crocusturn.daemon.callers;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.TransactionId;

/**
 * Operation that a caller requests from a service, before the group of its workspace is known.
 *
 * @param service name of the service
 * @param operation operation to run in the group
 */
public record CallerOperation(String service, GroupOperation operation) {
    /** Checks that no part is null. */
    public CallerOperation {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(operation, "operation");
    }

    /** Returns the transaction that the operation belongs to, if any. */
    public Optional<TransactionId> transaction() {
        if (operation instanceof GroupOperation.ExecuteInTransaction o) {
            return Optional.of(o.transaction());
        }
        if (operation instanceof GroupOperation.Commit o) {
            return Optional.of(o.transaction());
        }
        if (operation instanceof GroupOperation.Rollback o) {
            return Optional.of(o.transaction());
        }
        return Optional.empty();
    }

    /** Returns the group of the transaction, if any; it must equal the group of the workspace. */
    public Optional<GroupId> group() {
        return transaction().map(TransactionId::group);
    }
}
