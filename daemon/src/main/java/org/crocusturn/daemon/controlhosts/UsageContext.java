package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.UsageReceipt;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.UsageLedger;

/** Gives the usage duty access to its control host. Safe for any thread. */
interface UsageContext {
    /** Returns whether this host is the leader and no other host can be leader now. */
    boolean isLeaderLeaseValid();

    /** Returns the ledger in the state that this host has applied. */
    UsageLedger ledger();

    /** Proposes a command. */
    void propose(ControlCommand command);

    /** Sends a receipt over the link of a host, if it is open. */
    void send(HostId host, UsageReceipt receipt);
}
