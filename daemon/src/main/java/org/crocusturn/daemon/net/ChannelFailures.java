package org.crocusturn.daemon.net;

import org.crocusturn.core.ring.ThreadFailures;

/** Reports the failures of a connection that concern the whole process. */
public final class ChannelFailures {
    /** Part of the message with which the JDK refuses to reserve memory outside the heap. */
    private static final String DIRECT_MEMORY = "direct buffer memory";

    private ChannelFailures() {}

    /**
     * Reports an error, unless memory outside the heap for a buffer of the connection was refused.
     * Nothing else has failed then, and peers that send much could otherwise end the process.
     */
    public static void report(Throwable failure) {
        if (!isRefusedBuffer(failure) && !isRefusedBuffer(failure.getCause())) {
            ThreadFailures.reportError(failure);
        }
    }

    private static boolean isRefusedBuffer(Throwable failure) {
        return failure instanceof OutOfMemoryError
                && String.valueOf(failure.getMessage()).contains(DIRECT_MEMORY);
    }
}
