package org.crocusturn.core.controlhosts;

import org.crocusturn.core.PeerMessage;

/**
 * Answers a usage report; sent by the control leader only.
 *
 * @param sequence number of the report
 * @param trueTimeMillis the leader's estimate of the true time when it sent the receipt, in
 *     milliseconds since 1970
 */
public record UsageReceipt(long sequence, long trueTimeMillis) implements PeerMessage {}
