package org.crocusturn.core.operators;

/** Specifies which commits a read of a session must see. */
public enum Consistency {
    /** All commits that were acknowledged before the read. */
    PRIMARY,
    /** All commits of the same session, and those of others that are older than the stated age. */
    OWN_WRITES,
    /** All commits that were acknowledged longer ago than the stated age. */
    STATED_AGE
}
