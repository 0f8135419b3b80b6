package org.crocusturn.daemon.endpoints;

import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.endpoints.FenceRegistration;
import org.crocusturn.core.endpoints.PromotionFencing;
import org.crocusturn.core.endpoints.PromotionOrders;

/**
 * Sends the promotion orders of one lease epoch of a group, and keeps which of them the platform
 * may still carry out and whether it refuses those of earlier epochs.
 *
 * <p>Not thread-safe: used only by the thread of the group.
 */
final class EpochPromotions {
    private final LeasedGroup mGroup;
    private final GroupContext mContext;
    private PromotionOrders mOrders = PromotionOrders.none();
    private FenceRegistration mRegistration;
    private boolean mWaitLogged;

    EpochPromotions(LeasedGroup group, GroupContext context) {
        mGroup = group;
        mContext = context;
        mRegistration = FenceRegistration.of(context.fencing(), group.epoch(), context.nowNanos());
    }

    /** Returns whether no order of an earlier leaseholder can take effect any more. */
    boolean permitsWrites() {
        return mRegistration.permitsWrites(mContext.nowNanos());
    }

    /** Returns whether the present primary has to be ordered, so that the epoch is registered. */
    boolean isRegistrationDue() {
        return mRegistration.isOrderDue(mContext.nowNanos()) && mayOrder();
    }

    /**
     * Returns whether orders may be sent now. They wait for a while if this host sent some under an
     * earlier epoch, because another host may have held the lease in between.
     */
    boolean mayOrder() {
        boolean permitted = mContext.mayPromote(mGroup.id(), mGroup.epoch());
        if (!permitted && !mWaitLogged) {
            mWaitLogged = true;
            logEvent("orders nothing yet in epoch " + mGroup.epoch() + " after an earlier order");
        }
        return permitted;
    }

    /** Decides whether an endpoint may become or stay the primary now. */
    PromotionFencing.Step decide(EndpointId endpoint) {
        return mContext.fencing().decide(endpoint, mOrders, mContext.nowNanos());
    }

    /** Returns the endpoint that the orders name which may still be carried out. */
    Optional<EndpointId> openTarget() {
        return mOrders.target();
    }

    /** Orders an endpoint if the lease is valid. */
    void order(EndpointId target) {
        if (!mGroup.leaseValid()) {
            return;
        }
        mOrders =
                (mOrders.conflictWith(target) ? PromotionOrders.none() : mOrders).withSent(target);
        mRegistration = mRegistration.withOrderSent(mContext.nowNanos());
        logEvent("orders " + target + " with fencing number " + mGroup.epoch());
        mContext.promote(mGroup.id(), target, mGroup.epoch());
    }

    /** Records the answer of the platform to an order. */
    void recordAnswer(EndpointId target, PromotionService.Answer answer) {
        logEvent("ordered " + target + ": " + answer);
        mOrders =
                answer == PromotionService.Answer.UNKNOWN
                        ? mOrders.withLostAnswer(mContext.nowNanos())
                        : mOrders.withAnswer();
        if (answer == PromotionService.Answer.ACCEPTED) {
            mRegistration = mRegistration.withAccepted(mContext.nowNanos());
        }
    }

    private void logEvent(String text) {
        mContext.logEvent("group " + mGroup.id() + " " + text);
    }
}
