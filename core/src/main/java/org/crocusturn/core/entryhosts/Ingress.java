package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Objects;
import org.crocusturn.core.Decision;

/**
 * Decides what happens to the requests that an entry host took from its callers.
 *
 * <p>Immutable and thread-safe; each step is pure. Taking and answering a request costs a few map
 * accesses. A tick looks at the waiting requests; it looks at all open requests, at most {@link
 * #MAX_OPEN}, only after the earliest deadline has passed. Each request is answered exactly once.
 */
public final class Ingress {
    /** Bounds the memory for open requests; a request holds at most one body. */
    public static final int MAX_OPEN = 10_000;

    private final RetryPolicy mRetry;

    private Ingress(RetryPolicy retry) {
        mRetry = Objects.requireNonNull(retry, "retry");
    }

    /** Creates the decisions with the delays of the design, 5 ms doubling up to 80 ms. */
    public static Ingress standard() {
        return of(DoublingRetry.of(Duration.ofMillis(5), Duration.ofMillis(80)));
    }

    /** Creates the decisions with a retry policy. */
    public static Ingress of(RetryPolicy retry) {
        return new Ingress(retry);
    }

    /**
     * Returns the state and the actions after an input.
     *
     * @param state state before
     * @param input what happened
     * @param nowNanos current monotonic time
     */
    public Decision<IngressState, IngressAction> step(
            IngressState state, IngressInput input, long nowNanos) {
        IngressStep step = new IngressStep(mRetry, state, nowNanos);
        if (input instanceof IngressInput.Requested requested) {
            step.take(requested.request());
        } else if (input instanceof IngressInput.Replied replied) {
            step.replied(replied.attempt(), replied.outcome());
        } else if (input instanceof IngressInput.ViewChanged changed) {
            step.viewChanged(changed.view());
        } else if (input instanceof IngressInput.LinkLost lost) {
            step.linkLost(lost.host());
        } else if (input instanceof IngressInput.PhaseChanged changed) {
            step.mPhase = changed.phase();
        } else {
            step.tick();
        }
        return step.decision();
    }
}
