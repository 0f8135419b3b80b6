package org.crocusturn.core.entryhosts;

/** Moves leases to hosts that have fewer of them. */
final class MoveForBalance implements MovePolicy {
    @Override
    public boolean isWorthwhile(Move move) {
        return move.holderLeases() > move.targetLeases()
                && (!move.addsCapacity() || move.targetAliveNanos() >= LeaseTimes.MIN_STAY_NANOS);
    }

    @Override
    public String reason() {
        return "the target has fewer leases";
    }
}
