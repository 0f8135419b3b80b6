package org.crocusturn.core.endpoints;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.PersistentMap;

/** Handles connection events and observed statuses of the copies. */
final class GroupConnectionEvents {
    /** Delay before the next connection attempt to an endpoint after a failed one. */
    private static final long BACKOFF_NANOS = 100_000_000;

    private GroupConnectionEvents() {}

    static void handleOpened(GroupStep step, GroupInput.ConnectionOpened opened) {
        EndpointId endpoint = step.mConnections.get(opened.connection());
        if (endpoint != null) {
            if (step.pool(endpoint).isOpening(opened.connection())) {
                step.markIdle(opened.connection());
            }
        } else {
            step.mActions.add(new GroupAction.CloseConnection(opened.connection()));
        }
    }

    static void handleFailed(GroupStep step, GroupInput.ConnectionFailed failed) {
        long connection = failed.connection();
        EndpointId endpoint = step.mConnections.get(connection);
        if (endpoint == null) {
            return;
        }
        if (step.mRunning.get(connection) != null) {
            // Only the result of the command, which follows, tells whether it may have run.
            return;
        }
        step.mTransactions
                .all()
                .filter(t -> t.connection() == connection)
                .findFirst()
                .ifPresent(step::rollBack);
        step.close(connection);
        step.mBackoff = step.mBackoff.with(endpoint, step.mNowNanos + BACKOFF_NANOS);
        step.mActions.add(new GroupAction.SuspectEndpoint(endpoint));
    }

    static void handleObservation(GroupStep step, EndpointObservation observation) {
        if (!(observation instanceof EndpointObservation.StatusReceived received)) {
            step.clearStatus(observation.endpoint());
            return;
        }
        Optional<CopyStatus> status =
                received.copies().stream()
                        .filter(c -> c.database().equals(step.mView.group().database()))
                        .findFirst();
        CopyView copy = step.mCopies.get(received.endpoint());
        if (status.isEmpty() || copy == null) {
            return;
        }
        step.mCopies =
                step.mCopies.with(
                        received.endpoint(), copy.withStatus(status.get(), step.mNowNanos));
        GroupResults.acknowledgeAll(step);
        requeue(step, DelayedRequest::waitsForReplica);
    }

    /** Queues delayed requests again, in the order in which they were delayed. */
    static void requeue(GroupStep step, Predicate<DelayedRequest> due) {
        List<PersistentMap.Entry<Long, DelayedRequest>> ready =
                step.mDelayed
                        .entries()
                        .filter(e -> due.test(e.value()))
                        .sorted(
                                Comparator.comparing(
                                        (PersistentMap.Entry<Long, DelayedRequest> e) -> -e.key()))
                        .toList();
        for (PersistentMap.Entry<Long, DelayedRequest> entry : ready) {
            step.mDelayed = step.mDelayed.without(entry.key());
            step.enqueue(entry.value().pending(), true);
        }
    }
}
