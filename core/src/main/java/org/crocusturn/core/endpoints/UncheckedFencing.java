package org.crocusturn.core.endpoints;

import org.crocusturn.core.EndpointId;

/**
 * For platforms that carry out every order, whatever its fencing number.
 *
 * <p>A new epoch invalidates nothing there, so an order without an answer binds the group to its
 * target until it can no longer be carried out. An order that confirms the present primary would
 * only be one more order that may arrive late.
 */
public final class UncheckedFencing implements PromotionFencing {
    @Override
    public boolean registersEpoch() {
        return false;
    }

    @Override
    public Step decide(EndpointId endpoint, PromotionOrders orders, long nowNanos) {
        return orders.conflictWith(endpoint)
                        && !orders.lostLongerThan(nowNanos, MAX_ORDER_DELAY_NANOS)
                ? Step.WAIT
                : Step.PROCEED;
    }
}
