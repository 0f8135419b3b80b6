package org.crocusturn.core.platform;

/** Phase in the lifecycle of a process. */
public enum Phase {
    /** The process has not received the state of the system. */
    STARTING,
    /** The process accepts new work. */
    SERVING,
    /** A stop was requested; new work is accepted until the load balancer has detected it. */
    LEAVING,
    /** The process rejects new work and completes running work. */
    DRAINING,
    /** No work is running. */
    STOPPED
}
