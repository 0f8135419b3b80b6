package org.crocusturn.core.operators;

/** Specifies when a write is acknowledged. */
public enum AcknowledgeMode {
    /** At least one replica has reached the position of the write. */
    DURABLE,
    /** The primary has committed the write. */
    PRIMARY
}
