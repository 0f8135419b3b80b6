package org.crocusturn.daemon.endpoints;

import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.EndpointId;

/** Requests promotions from the platform, the only component that can change a primary. */
public interface PromotionService {
    /** Answer of the platform to a promotion request. */
    enum Answer {
        /** The request was accepted. */
        ACCEPTED,
        /** A higher fencing number was used before, or the endpoint is not running. */
        REFUSED,
        /** The platform refused the request because of too many calls; it had no effect. */
        LATER,
        /** No answer arrived; the request may still be carried out, even much later. */
        UNKNOWN
    }

    /**
     * Requests the promotion of an endpoint to primary of a service.
     *
     * @param service the service
     * @param endpoint the endpoint
     * @param fence fencing number, which increases with each change of the leaseholder
     * @return the answer; the future never fails
     */
    CompletableFuture<Answer> promote(String service, EndpointId endpoint, long fence);
}
