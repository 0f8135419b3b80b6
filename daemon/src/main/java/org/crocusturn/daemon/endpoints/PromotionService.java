package org.crocusturn.daemon.endpoints;

import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.endpoints.CheckedFencing;
import org.crocusturn.core.endpoints.PromotionFencing;

/** Requests promotions from the platform, the only component that can change a primary. */
public interface PromotionService {
    /** Answer of the platform to a promotion request. */
    enum Answer {
        /** The request was accepted. */
        ACCEPTED,
        /** A higher fencing number was used before, or the endpoint is not running. */
        REFUSED,
        /** The request was not sent, or refused because of too many calls; it had no effect. */
        LATER,
        /** No answer arrived; the request may still be carried out, even much later. */
        UNKNOWN
    }

    /**
     * Requests the promotion of an endpoint to primary of a service.
     *
     * @param order the order, which is not sent after its lease has ended
     * @return the answer; the future never fails
     */
    CompletableFuture<Answer> promote(PromotionOrder order);

    /**
     * Returns whether an order of a leaseholder may be sent now.
     *
     * @param group the group
     * @param fence fencing number of the order
     */
    default boolean isPermitted(GroupId group, long fence) {
        return true;
    }

    /** Returns how the platform treats the fencing numbers of orders. */
    default PromotionFencing fencing() {
        return new CheckedFencing();
    }
}
