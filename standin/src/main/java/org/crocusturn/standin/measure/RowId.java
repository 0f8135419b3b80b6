package org.crocusturn.standin.measure;

/**
 * Identifies a row that the load writes.
 *
 * @param session number of the session
 * @param writeNumber number of the write in its session, from 1
 */
public record RowId(long session, long writeNumber) {}
