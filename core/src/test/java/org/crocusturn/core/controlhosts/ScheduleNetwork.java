package org.crocusturn.core.controlhosts;

import org.crocusturn.core.HostId;

/** The clock, links and disks of the members of a schedule. */
interface ScheduleNetwork {
    /** Returns the virtual time, in nanoseconds. */
    long nowNanos();

    /** Delivers a message later, or never. */
    void send(HostId from, ConsensusAction.Send send);

    /** Completes the oldest write of a host later. */
    void write(ScheduleHost host);
}
