/**
 * Messages and state of the control hosts: the consensus on the replicated log, and the leases and
 * tokens that the leader grants to entry hosts. Entry points are {@link Consensus}, {@link
 * EntryReport} and {@link ControlUpdate}.
 */
package org.crocusturn.core.controlhosts;
