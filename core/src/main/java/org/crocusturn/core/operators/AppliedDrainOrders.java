package org.crocusturn.core.operators;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.crocusturn.core.DataCentreId;

/**
 * The orders to drain or restore data centres that one control host has applied, and when. They
 * tell which order an operator may have known who sent another one.
 *
 * <p>A host may read an order long after its sender gave it up and sent others elsewhere: it was
 * suspended, was slow, or was cut off. By then it may have learned of the later orders. Such an
 * order must not be taken for a new one that undoes them.
 *
 * <p>Immutable.
 *
 * @param orders latest order of each data centre
 */
public record AppliedDrainOrders(Map<DataCentreId, Order> orders) {
    /** No order has been applied. */
    public static final AppliedDrainOrders NONE = new AppliedDrainOrders(Map.of());

    /**
     * Time after the application of an order in which a request may be read that was sent before
     * it. After a suspension, a host learns of the later orders and reads what waits in its sockets
     * at the same time, and the system had completed the connections of these requests meanwhile.
     */
    static final long READ_DELAY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Copies the orders. */
    public AppliedDrainOrders {
        orders = Map.copyOf(orders);
    }

    /**
     * An order that a host has applied.
     *
     * @param version state version of the order
     * @param previous state version of the order before it, 0 if the host knew of none
     * @param appliedNanos steady time at which the host applied the order
     */
    public record Order(long version, long previous, long appliedNanos) {}

    /** Returns the orders after a host applied a state. */
    public AppliedDrainOrders with(ControlState state, long nowNanos) {
        Map<DataCentreId, Order> next = new HashMap<>(orders);
        state.drainOrders()
                .forEach(
                        (dataCentre, version) -> {
                            long known = latest(dataCentre);
                            if (known != version) {
                                next.put(dataCentre, new Order(version, known, nowNanos));
                            }
                        });
        return new AppliedDrainOrders(next);
    }

    private long latest(DataCentreId dataCentre) {
        return orders.containsKey(dataCentre) ? orders.get(dataCentre).version() : 0;
    }

    /**
     * Returns the version of the latest order for a data centre that the sender of another one may
     * have known; 0 if there was none.
     *
     * @param dataCentre the data centre
     * @param earliestSentNanos steady time before which the request cannot have been sent
     */
    public long precedingOrder(DataCentreId dataCentre, long earliestSentNanos) {
        Order order = orders.get(dataCentre);
        boolean applied =
                order != null && earliestSentNanos - order.appliedNanos() >= READ_DELAY_NANOS;
        return order == null || applied ? latest(dataCentre) : order.previous();
    }
}
