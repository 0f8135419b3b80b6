package org.crocusturn.daemon.endpoints;

import java.util.function.Consumer;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.endpoints.PromotionFencing;
import org.crocusturn.core.ring.ThreadFailures;

/** Passes promotion orders to the platform and its answers to the ring of the groups. */
final class PromotionRequests {
    private final PromotionService mService;
    private final Consumer<SessionGroupsEvent> mRing;

    /**
     * Creates an instance.
     *
     * @param service requests promotions from the platform
     * @param ring gets the answers
     */
    PromotionRequests(PromotionService service, Consumer<SessionGroupsEvent> ring) {
        mService = service;
        mRing = ring;
    }

    PromotionFencing fencing() {
        return mService.fencing();
    }

    boolean isPermitted(GroupId group, long fence) {
        return mService.isPermitted(group, fence);
    }

    /** Requests a promotion; the ring gets the answer. */
    void send(GroupId group, EndpointId endpoint, long fence, long expiresNanos) {
        mService.promote(new PromotionOrder(group, endpoint, fence, expiresNanos))
                .exceptionally(failure -> PromotionService.Answer.UNKNOWN)
                .thenAccept(
                        ThreadFailures.guard(
                                answer ->
                                        mRing.accept(
                                                new SessionGroupsEvent.PromotionAnswered(
                                                        group, fence, endpoint, answer))));
    }
}
