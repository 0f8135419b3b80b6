package org.crocusturn.standin.measure;

/**
 * Identifies a row written by the load.
 *
 * @param session number of the session
 * @param writeNumber number of the write within its session, from 1
 */
public record RowId(long session, long writeNumber) {}
