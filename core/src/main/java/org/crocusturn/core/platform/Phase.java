package org.crocusturn.core.platform;

/** Is a part of the life of a process. */
public enum Phase {
    /** It does not yet know the state of the system. */
    STARTING,
    /** It takes new work. */
    SERVING,
    /** It was asked to stop; the load balancer learns it, and new work is still taken. */
    LEAVING,
    /** It refuses new work and finishes what runs. */
    DRAINING,
    /** Nothing runs any more. */
    STOPPED
}
