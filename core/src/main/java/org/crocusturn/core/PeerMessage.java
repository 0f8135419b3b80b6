package org.crocusturn.core;

/** Marks immutable messages that processes of the system send to each other. */
public interface PeerMessage {}
