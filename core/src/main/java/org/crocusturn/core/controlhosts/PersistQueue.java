package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;

/**
 * Tracks unconfirmed persists and the messages that wait for them.
 *
 * @param issuedSequence sequence of the last requested persist
 * @param issuedHardState hard state of that persist
 * @param durableHardState hard state that is synced
 * @param durableIndex last index up to which the current log is synced
 * @param pending requested persists that are not confirmed yet
 * @param deferred messages that wait for a persist
 */
public record PersistQueue(
        long issuedSequence,
        HardState issuedHardState,
        HardState durableHardState,
        long durableIndex,
        List<PendingPersist> pending,
        List<DeferredMessage> deferred) {
    /** Sequence of a message whose step has not determined its persist yet. */
    static final long UNASSIGNED = Long.MAX_VALUE;

    /** Copies the lists. */
    public PersistQueue {
        Objects.requireNonNull(issuedHardState, "issuedHardState");
        Objects.requireNonNull(durableHardState, "durableHardState");
        pending = List.copyOf(pending);
        deferred = List.copyOf(deferred);
    }

    /** A requested persist that is not confirmed yet. */
    public record PendingPersist(long sequence, HardState hardState, long lastIndex) {}

    /** A message that may be sent once the persist with its sequence is confirmed. */
    public record DeferredMessage(long sequence, HostId to, ConsensusMessage message) {}

    /** Creates the queue of a member whose state is synced. */
    static PersistQueue create(HardState hardState, long lastIndex) {
        return new PersistQueue(0, hardState, hardState, lastIndex, List.of(), List.of());
    }

    /** Returns the sequence of the last confirmed persist. */
    long durableSequence() {
        return pending.isEmpty() ? issuedSequence : pending.get(0).sequence() - 1;
    }

    /** Returns the messages that may be sent now. */
    List<DeferredMessage> sendable() {
        return deferred.stream()
                .filter(message -> message.sequence() <= durableSequence())
                .toList();
    }

    /** Returns the queue with a message that waits for the persist of the current step. */
    PersistQueue withDeferred(HostId to, ConsensusMessage message) {
        return withDeferredMessages(
                Stream.concat(
                                deferred.stream(),
                                Stream.of(new DeferredMessage(UNASSIGNED, to, message)))
                        .toList());
    }

    /** Returns the queue with a message that waits for no persist. */
    PersistQueue withImmediate(HostId to, ConsensusMessage message) {
        return withDeferredMessages(
                Stream.concat(deferred.stream(), Stream.of(new DeferredMessage(0, to, message)))
                        .toList());
    }

    /** Returns the queue with the messages of the current step waiting for the last persist. */
    PersistQueue withAssignedSequences() {
        return withDeferredMessages(
                deferred.stream()
                        .map(
                                message ->
                                        message.sequence() == UNASSIGNED
                                                ? assigned(message)
                                                : message)
                        .toList());
    }

    /** Returns the queue without the messages that may be sent now. */
    PersistQueue withoutSendable() {
        long durableSequence = durableSequence();
        return withDeferredMessages(
                deferred.stream().filter(message -> message.sequence() > durableSequence).toList());
    }

    /**
     * Returns the queue with one more persist.
     *
     * @param keptIndex last index that the persist leaves unchanged
     */
    PersistQueue withIssued(HardState hardState, long keptIndex, long lastIndex) {
        Stream<PendingPersist> capped =
                pending.stream()
                        .map(
                                persist ->
                                        new PendingPersist(
                                                persist.sequence(),
                                                persist.hardState(),
                                                Math.min(persist.lastIndex(), keptIndex)));
        Stream<PendingPersist> added =
                Stream.of(new PendingPersist(issuedSequence + 1, hardState, lastIndex));
        return new PersistQueue(
                issuedSequence + 1,
                hardState,
                durableHardState,
                Math.min(durableIndex, keptIndex),
                Stream.concat(capped, added).toList(),
                deferred);
    }

    /** Returns the queue after a persist and all earlier ones were confirmed. */
    PersistQueue withConfirmed(long sequence) {
        return pending.stream()
                .filter(persist -> persist.sequence() <= sequence)
                .reduce((first, second) -> second)
                .map(this::confirmed)
                .orElse(this);
    }

    private PersistQueue confirmed(PendingPersist done) {
        return new PersistQueue(
                issuedSequence,
                issuedHardState,
                done.hardState(),
                done.lastIndex(),
                pending.stream().filter(persist -> persist.sequence() > done.sequence()).toList(),
                deferred);
    }

    private DeferredMessage assigned(DeferredMessage message) {
        return new DeferredMessage(issuedSequence, message.to(), message.message());
    }

    PersistQueue withDeferredMessages(List<DeferredMessage> messages) {
        return new PersistQueue(
                issuedSequence, issuedHardState, durableHardState, durableIndex, pending, messages);
    }
}
