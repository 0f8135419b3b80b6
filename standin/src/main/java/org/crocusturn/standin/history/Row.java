package org.crocusturn.standin.history;

/**
 * A row that a write inserts.
 *
 * @param write number of the write, unique within a run
 * @param part index of the row within its write, from 0
 */
public record Row(long write, int part) {}
