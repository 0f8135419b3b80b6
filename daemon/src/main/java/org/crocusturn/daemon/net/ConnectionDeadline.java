package org.crocusturn.daemon.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection that stays too long in one state.
 *
 * <p>Belongs to the event loop of the connection.
 */
final class ConnectionDeadline {
    private State mState = State.NONE;
    private Future<?> mTimer;

    /** Enters a state; one that goes on keeps its time. */
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
                                    () -> {
                                        context.close();
                                    },
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

    /** Is what a connection does, as far as a time limit belongs to it. */
    enum State {
        /** No limit: answers are due, or the connection reads nothing. */
        NONE,
        /** Nothing was received since the last answer. */
        IDLE,
        /** A request was received in part. */
        RECEIVING,
        /** The last answer is written, and the other end has not closed yet. */
        LINGERING
    }
}
