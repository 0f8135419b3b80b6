package org.crocusturn.core.endpoints;

import org.crocusturn.core.EndpointId;

/** For platforms that refuse an order whose fencing number is lower than one seen before. */
public final class CheckedFencing implements PromotionFencing {
    @Override
    public boolean registersEpoch() {
        return true;
    }

    @Override
    public Step decide(EndpointId endpoint, PromotionOrders orders, long nowNanos) {
        return orders.conflictWith(endpoint) ? Step.RETURN_LEASE : Step.PROCEED;
    }
}
