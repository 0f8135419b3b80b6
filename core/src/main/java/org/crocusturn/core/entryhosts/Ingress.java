package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Objects;
import org.crocusturn.core.Decision;

/**
 * Admits the requests that callers send to an entry host, routes them to the leaseholder of their
 * group and retries failed attempts.
 *
 * <p>Immutable and thread-safe; each step is a pure function. Each request is answered exactly
 * once. Accepting and answering a request costs a few map accesses. A tick costs O(waiting
 * requests); after the earliest deadline it costs O(open requests), at most {@link
 * #MAX_OPEN_REQUESTS}.
 */
public final class Ingress {
    /** Maximum number of open requests; bounds memory, as a request holds at most one body. */
    public static final int MAX_OPEN_REQUESTS = 10_000;

    private final RetryPolicy mRetry;

    private Ingress(RetryPolicy retry) {
        mRetry = Objects.requireNonNull(retry, "retry");
    }

    /** Creates an ingress with retry delays that double from 5 ms up to 80 ms. */
    public static Ingress standard() {
        return of(ExponentialBackoff.of(Duration.ofMillis(5), Duration.ofMillis(80)));
    }

    /** Creates an ingress with a retry policy. */
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
        if (input instanceof IngressInput.RequestReceived requested) {
            step.accept(requested.request());
        } else if (input instanceof IngressInput.ReplyReceived replied) {
            step.handleReply(replied.attempt(), replied.outcome());
        } else if (input instanceof IngressInput.ViewChanged changed) {
            step.handleViewChanged(changed.view());
        } else if (input instanceof IngressInput.LinkLost lost) {
            step.handleLinkLost(lost.host());
        } else if (input instanceof IngressInput.PhaseChanged changed) {
            step.mPhase = changed.phase();
        } else {
            step.handleTick();
        }
        return step.decision();
    }
}
