package org.crocusturn.daemon.endpoints;

import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.EndpointId;

/** Orders promotions through the platform, which alone can change a primary. */
public interface PromotionService {
    /** Is the platform's answer. */
    enum Answer {
        /** The order is accepted. */
        ACCEPTED,
        /** A higher fencing number was used, or the endpoint does not run. */
        REFUSED,
        /** Too many calls; nothing happened. */
        LATER,
        /** No answer; the order may still be carried out, also much later. */
        UNKNOWN
    }

    /**
     * Orders that an endpoint becomes the primary of a service.
     *
     * @param service the service
     * @param endpoint the endpoint
     * @param fence number that grows whenever the holder of the duty changes
     * @return the answer; the future never fails
     */
    CompletableFuture<Answer> promote(String service, EndpointId endpoint, long fence);
}
