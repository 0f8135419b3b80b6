package org.crocusturn.core.callers;

/** The role of an endpoint in a group. */
public enum Role {
    PRIMARY,
    REPLICA
}
