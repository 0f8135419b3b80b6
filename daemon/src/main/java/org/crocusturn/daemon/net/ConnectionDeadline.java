package org.crocusturn.daemon.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.ring.ThreadFailures;

/**
 * Closes a connection that stays in one state for too long.
 *
 * <p>Confined to the event loop of the connection.
 */
final class ConnectionDeadline {
    private State mState = State.NONE;
    private Future<?> mTimer;

    /** Enters a state and starts its timer; has no effect if the connection is in it already. */
    void enter(ChannelHandlerContext context, State state, Duration limit) {
        if (state == mState) {
            return;
        }
        cancel();
        mState = state;
        if (state != State.NONE) {
            mTimer =
                    context.executor()
                            .schedule(
                                    ThreadFailures.guardTask(
                                            () -> {
                                                context.close();
                                            }),
                                    limit.toNanos(),
                                    TimeUnit.NANOSECONDS);
        }
    }

    void cancel() {
        mState = State.NONE;
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    /** State of a connection, which determines the time limit. */
    enum State {
        /** No limit: responses are pending, or the connection does not read. */
        NONE,
        /** Nothing was received since the last response. */
        IDLE,
        /** A request was received partially. */
        RECEIVING,
        /** The last response was written, and the client has not closed the connection yet. */
        LINGERING
    }
}
