package org.crocusturn.daemon.callers;

import java.time.Duration;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;

/** Failures of sessions and statements that this host cannot serve now and that did not run. */
final class Refusals {
    private static final Duration RETRY_AFTER = Duration.ofMillis(250);

    private Refusals() {}

    static Failure unavailable(String message) {
        return Failure.notRun(ErrorCode.UNAVAILABLE, message).withRetryAfter(RETRY_AFTER);
    }

    static Failure stopping() {
        return unavailable("this host stops");
    }

    static Failure outdated() {
        return unavailable("this host has no current state from the control hosts");
    }

    static Failure recentlyWithdrawn() {
        return unavailable("the key was recently removed from its workspace");
    }
}
