/**
 * Control hosts as their peers see them: the replicated log, and the leases and tokens that entry
 * hosts hold from the leader; start at {@link LogEntry}, {@link EntryReport} and {@link
 * ControlUpdate}.
 */
package org.crocusturn.core.controlhosts;
