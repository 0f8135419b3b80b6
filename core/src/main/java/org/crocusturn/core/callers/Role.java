package org.crocusturn.core.callers;

/** Is the part that an endpoint plays in a group. */
public enum Role {
    PRIMARY,
    REPLICA
}
