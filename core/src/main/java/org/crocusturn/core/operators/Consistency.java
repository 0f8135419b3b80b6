package org.crocusturn.core.operators;

/** Tells which commits a read of a session must see. */
public enum Consistency {
    /** All commits that were acknowledged before the read. */
    PRIMARY,
    /** All commits of the same session, and those of others up to the stated age. */
    OWN_WRITES,
    /** All commits that were acknowledged longer ago than the stated age. */
    STATED_AGE
}
