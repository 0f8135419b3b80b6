package org.crocusturn.standin.history;

/**
 * Is one row that a write inserts.
 *
 * @param write number of the write, different for each write of a run
 * @param part position within the write's transaction, from 0
 */
public record Row(long write, int part) {}
