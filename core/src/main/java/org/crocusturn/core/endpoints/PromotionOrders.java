package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.EndpointId;

/**
 * Promotion orders of one lease epoch that the platform may still carry out.
 *
 * <p>An order without an answer may be carried out after later ones, also if a repetition of it was
 * answered. All orders that are open at the same time name the same endpoint.
 *
 * <p>Immutable.
 *
 * @param target endpoint that the open orders name; empty if no order is open
 * @param awaited number of orders whose answer is awaited
 * @param lostNanos time at which the latest order was given up without an answer, if one was
 */
public record PromotionOrders(Optional<EndpointId> target, int awaited, Optional<Long> lostNanos) {
    private static final PromotionOrders NONE =
            new PromotionOrders(Optional.empty(), 0, Optional.empty());

    /** Rejects null components and a negative number. */
    public PromotionOrders {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(lostNanos, "lostNanos");
        if (awaited < 0) {
            throw new IllegalArgumentException("awaited must not be negative, is " + awaited);
        }
    }

    /** Returns an instance without open orders. */
    public static PromotionOrders none() {
        return NONE;
    }

    /** Returns whether an order that may still be carried out names another endpoint. */
    public boolean conflictWith(EndpointId endpoint) {
        return target.filter(id -> !id.equals(endpoint)).isPresent();
    }

    /**
     * Returns whether every open order was given up at least a given time ago.
     *
     * @param nowNanos current monotonic time
     * @param ageNanos time in nanoseconds
     */
    public boolean lostLongerThan(long nowNanos, long ageNanos) {
        return awaited == 0 && lostNanos.filter(lost -> nowNanos - lost >= ageNanos).isPresent();
    }

    /**
     * Adds an order.
     *
     * @throws IllegalStateException if an open order names another endpoint
     */
    public PromotionOrders withSent(EndpointId endpoint) {
        if (conflictWith(endpoint)) {
            throw new IllegalStateException(
                    "the order for " + target.get() + " may still be carried out");
        }
        return new PromotionOrders(Optional.of(endpoint), awaited + 1, lostNanos);
    }

    /** Removes an order that the platform answered; an order that it lost stays open. */
    public PromotionOrders withAnswer() {
        int rest = Math.max(0, awaited - 1);
        return rest == 0 && lostNanos.isEmpty()
                ? NONE
                : new PromotionOrders(target, rest, lostNanos);
    }

    /** Records that an order got no answer, so that it may be carried out at any later time. */
    public PromotionOrders withLostAnswer(long nowNanos) {
        return new PromotionOrders(target, Math.max(0, awaited - 1), Optional.of(nowNanos));
    }
}
