package org.crocusturn.core.controlhosts;

/**
 * Safety rules that tests with random schedules can disable.
 *
 * @param persistFirst whether messages wait until the state that they depend on is synced
 */
record Safeguards(boolean persistFirst) {
    /** All rules are enabled. */
    static final Safeguards ALL = new Safeguards(true);
}
