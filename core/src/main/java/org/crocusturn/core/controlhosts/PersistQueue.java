package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;

/**
 * Tracks unconfirmed persists and the messages that wait for them.
 *
 * @param issued sequence of the last requested persist
 * @param issuedHard hard state of that persist
 * @param durableHard hard state that is synced
 * @param durableIndex last index up to which the current log is synced
 * @param outstanding requested persists that are not confirmed yet
 * @param held messages that wait for a persist
 */
public record PersistQueue(
        long issued,
        HardState issuedHard,
        HardState durableHard,
        long durableIndex,
        List<Outstanding> outstanding,
        List<Held> held) {
    /** Sequence of a message whose step has not determined its persist yet. */
    static final long UNPLANNED = Long.MAX_VALUE;

    /** Copies the lists. */
    public PersistQueue {
        Objects.requireNonNull(issuedHard, "issuedHard");
        Objects.requireNonNull(durableHard, "durableHard");
        outstanding = List.copyOf(outstanding);
        held = List.copyOf(held);
    }

    /** A requested persist that is not confirmed yet. */
    public record Outstanding(long sequence, HardState hard, long lastIndex) {}

    /** A message that may be sent once the persist with its sequence is confirmed. */
    public record Held(long sequence, HostId to, ConsensusMessage message) {}

    /** Creates the queue of a member whose state is synced. */
    static PersistQueue create(HardState hard, long lastIndex) {
        return new PersistQueue(0, hard, hard, lastIndex, List.of(), List.of());
    }

    /** Returns the sequence of the last confirmed persist. */
    long durable() {
        return outstanding.isEmpty() ? issued : outstanding.get(0).sequence() - 1;
    }

    /** Returns the messages that may be sent now. */
    List<Held> ready() {
        return held.stream().filter(h -> h.sequence() <= durable()).toList();
    }

    /** Returns the queue with a message that waits for the persist of the current step. */
    PersistQueue withHeld(HostId to, ConsensusMessage message) {
        return withHeldList(
                Stream.concat(held.stream(), Stream.of(new Held(UNPLANNED, to, message))).toList());
    }

    /** Returns the queue with a message that waits for no persist. */
    PersistQueue withUnconditional(HostId to, ConsensusMessage message) {
        return withHeldList(
                Stream.concat(held.stream(), Stream.of(new Held(0, to, message))).toList());
    }

    /** Returns the queue with the messages of the current step waiting for the last persist. */
    PersistQueue withPlanned() {
        return withHeldList(
                held.stream().map(h -> h.sequence() == UNPLANNED ? rebound(h) : h).toList());
    }

    /** Returns the queue without the messages that may be sent now. */
    PersistQueue withoutReady() {
        long durable = durable();
        return withHeldList(held.stream().filter(h -> h.sequence() > durable).toList());
    }

    /**
     * Returns the queue with one more persist.
     *
     * @param keptIndex last index that the persist leaves unchanged
     */
    PersistQueue withIssued(HardState hard, long keptIndex, long lastIndex) {
        Stream<Outstanding> capped =
                outstanding.stream()
                        .map(
                                o ->
                                        new Outstanding(
                                                o.sequence(),
                                                o.hard(),
                                                Math.min(o.lastIndex(), keptIndex)));
        Stream<Outstanding> added = Stream.of(new Outstanding(issued + 1, hard, lastIndex));
        return new PersistQueue(
                issued + 1,
                hard,
                durableHard,
                Math.min(durableIndex, keptIndex),
                Stream.concat(capped, added).toList(),
                held);
    }

    /** Returns the queue after a persist and all earlier ones were confirmed. */
    PersistQueue withDurable(long sequence) {
        return outstanding.stream()
                .filter(o -> o.sequence() <= sequence)
                .reduce((first, second) -> second)
                .map(this::confirmed)
                .orElse(this);
    }

    private PersistQueue confirmed(Outstanding done) {
        return new PersistQueue(
                issued,
                issuedHard,
                done.hard(),
                done.lastIndex(),
                outstanding.stream().filter(o -> o.sequence() > done.sequence()).toList(),
                held);
    }

    private Held rebound(Held message) {
        return new Held(issued, message.to(), message.message());
    }

    PersistQueue withHeldList(List<Held> messages) {
        return new PersistQueue(
                issued, issuedHard, durableHard, durableIndex, outstanding, messages);
    }
}
