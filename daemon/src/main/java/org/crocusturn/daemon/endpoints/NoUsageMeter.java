package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.entryhosts.SessionCall;

/** Meter of a deployment without metering. */
public final class NoUsageMeter implements UsageMeter {
    /** The meter has no timer, so this only has to exceed the intervals of its duty. */
    private static final long TIMER_INTERVAL_NANOS = Duration.ofDays(1).toNanos();

    @Override
    public long currentWindow() {
        return 0;
    }

    @Override
    public void record(SessionCall call, long window, Optional<EndpointError> error) {
        // Nothing is counted.
    }

    @Override
    public long onTimer(long nowNanos) {
        return nowNanos + TIMER_INTERVAL_NANOS;
    }

    @Override
    public void flush(long nowNanos) {
        // Nothing is counted.
    }
}
