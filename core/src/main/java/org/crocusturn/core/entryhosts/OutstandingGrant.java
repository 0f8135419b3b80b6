package org.crocusturn.core.entryhosts;

/**
 * A token grant that is not settled. Immutable.
 *
 * @param id number of the grant, unique within the leader's term
 * @param tokens number of tokens granted
 * @param unspent tokens not reported as spent
 * @param sequence sequence of the report that the grant answered
 * @param reportNanos arrival time of that report; the host measures the validity from the earlier
 *     time of sending
 * @param forfeited whether the unspent tokens are lost because the host did not report in time
 */
record OutstandingGrant(
        long id, long tokens, long unspent, long sequence, long reportNanos, boolean forfeited) {
    /** Returns whether the tokens are guaranteed to be void at a time. */
    boolean isVoid(long nanos) {
        return nanos - reportNanos >= LeaseTimes.EXPIRY_NANOS;
    }

    /** Returns the tokens that count against the limit. */
    long outstanding() {
        return forfeited ? 0 : unspent;
    }

    OutstandingGrant withUnspent(long value) {
        return new OutstandingGrant(id, tokens, value, sequence, reportNanos, forfeited);
    }

    OutstandingGrant withForfeit() {
        return new OutstandingGrant(id, tokens, unspent, sequence, reportNanos, true);
    }
}
