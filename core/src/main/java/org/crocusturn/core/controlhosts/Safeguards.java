package org.crocusturn.core.controlhosts;

/**
 * Names the safety rules that the schedule test switches off one at a time.
 *
 * @param persistFirst whether messages wait for the persist of what they promise
 * @param ownTermOnly whether only entries of the leader's own term are committed by counting
 */
record Safeguards(boolean persistFirst, boolean ownTermOnly) {
    /** All rules hold. */
    static final Safeguards ALL = new Safeguards(true, true);
}
