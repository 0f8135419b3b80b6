package org.crocusturn.core.endpoints;

import java.time.Duration;
import org.crocusturn.core.EndpointId;

/** How orders that may be carried out late are kept from undoing a later promotion. */
public interface PromotionFencing {
    /** Platforms carry out orders up to 12 s late; the rest covers the way there. */
    long MAX_ORDER_DELAY_NANOS = Duration.ofSeconds(13).toNanos();

    /** What a leaseholder does before another endpoint becomes the primary. */
    enum Step {
        /** No earlier order can interfere. */
        PROCEED,
        /** Returns the lease in exchange for a new epoch, which invalidates earlier orders. */
        RETURN_LEASE,
        /** Waits until the earlier order has been carried out or has expired. */
        WAIT
    }

    /**
     * Returns whether a new leaseholder confirms the present primary with its fencing number, so
     * that the platform refuses the orders of earlier leaseholders.
     */
    boolean registersEpoch();

    /**
     * Decides whether an endpoint may become or stay the primary now.
     *
     * @param endpoint the endpoint
     * @param orders orders of this epoch that may still be carried out
     * @param nowNanos current monotonic time
     */
    Step decide(EndpointId endpoint, PromotionOrders orders, long nowNanos);
}
