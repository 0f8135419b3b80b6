package org.crocusturn.core.entryhosts;

/**
 * Is a token grant that has not been settled yet. Immutable.
 *
 * @param id number of the grant, unique within the leader's term
 * @param tokens number of tokens granted
 * @param left tokens that are not known to be spent
 * @param sequence report that the grant answered
 * @param reportNanos time at which that report arrived; the host counts the validity from its
 *     sending, which is earlier
 * @param forfeited whether the unspent tokens are lost because the host did not report in time
 */
record OutstandingGrant(
        long id, long tokens, long left, long sequence, long reportNanos, boolean forfeited) {
    /** Returns whether the tokens are certainly void at a time. */
    boolean isVoid(long nanos) {
        return nanos - reportNanos >= LeaseTimes.EXPIRY_NANOS;
    }

    /** Returns the tokens that take part in the limit. */
    long counted() {
        return forfeited ? 0 : left;
    }

    OutstandingGrant withLeft(long value) {
        return new OutstandingGrant(id, tokens, value, sequence, reportNanos, forfeited);
    }

    OutstandingGrant withForfeit() {
        return new OutstandingGrant(id, tokens, left, sequence, reportNanos, true);
    }
}
