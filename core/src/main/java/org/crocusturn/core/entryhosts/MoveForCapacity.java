package org.crocusturn.core.entryhosts;

/**
 * Moves leases away from a holder that is asked to relay more statements than it can, or that has
 * no callers yet.
 *
 * <p>A holder that can relay what it is asked to keeps its leases: after a loss of all power, all
 * leases of a site moved to hosts of more capacity at the moment at which it served again.
 */
final class MoveForCapacity implements MovePolicy {
    @Override
    public boolean isWorthwhile(Move move) {
        return move.addsCapacity()
                && (move.holder().isOverloaded() || !move.interruptsService())
                && move.targetAliveNanos() >= LeaseTimes.MIN_STAY_NANOS;
    }

    @Override
    public String reason() {
        return "the target can relay more";
    }
}
