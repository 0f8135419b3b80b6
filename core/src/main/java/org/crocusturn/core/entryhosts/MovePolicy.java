package org.crocusturn.core.entryhosts;

import java.util.Objects;

/**
 * A reason for which a lease may move although its holder serves. Implementations have no side
 * effects.
 *
 * <p>A move costs the callers of its group some seconds: waiting calls end, writes wait until the
 * new holder's fencing number is in force, and the new holder opens its connections and compiles
 * its code under load.
 */
interface MovePolicy {
    /**
     * A move that placement prefers.
     *
     * @param holder present holder of the lease
     * @param holderLeases number of other leases that it holds or is about to receive
     * @param target host that would receive the lease
     * @param targetLeases number of leases that the target holds or is about to receive
     * @param heldNanos time for which the holder has had the lease
     * @param targetAliveNanos time for which the target has been alive
     */
    record Move(
            RegisteredHost holder,
            int holderLeases,
            RegisteredHost target,
            int targetLeases,
            long heldNanos,
            long targetAliveNanos) {
        /** Checks that the hosts are not null. */
        public Move {
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(target, "target");
        }

        /** Load, as a multiple of its capacity, above which a holder serves few of its calls. */
        private static final int MAX_SERVED_LOAD = 2;

        /** Returns whether the target can relay more than the holder. */
        boolean addsCapacity() {
            return holder.relayCapacity() < target.relayCapacity();
        }

        /** Returns whether the holder serves callers, who have to wait for the target. */
        boolean interruptsService() {
            return holder.callsPerSecond() > 0
                    && (holder.relayCapacity() == 0
                            || holder.callsPerSecond() <= MAX_SERVED_LOAD * holder.relayCapacity());
        }
    }

    /** Returns whether the move is worth what it costs. */
    boolean isWorthwhile(Move move);

    /** Returns the reason as it is logged. */
    String reason();
}
