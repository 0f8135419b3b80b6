package org.crocusturn.core.controlhosts;

/**
 * Names the safety rules that the schedule test can switch off.
 *
 * @param persistFirst whether messages wait for the persist of what they promise
 */
record Safeguards(boolean persistFirst) {
    /** All rules hold. */
    static final Safeguards ALL = new Safeguards(true);
}
