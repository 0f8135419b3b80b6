package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides whether a leaseholder may serve writes although orders of earlier leaseholders may still
 * be carried out.
 *
 * <p>A platform that checks fencing numbers refuses these orders once it has answered an order with
 * the number of this epoch. An order without an answer proves nothing: it may be carried out after
 * theirs. An order that was accepted before takes effect some hundred milliseconds later, although
 * its number would be refused by then. Until all of this is over, a commit could be acknowledged
 * that the target of such an order never receives. Reads are not affected, because no commit is
 * acknowledged meanwhile.
 *
 * <p>Immutable.
 *
 * @param required whether earlier leaseholders may have sent orders that a fencing number stops
 * @param acceptedNanos time of the first answer to an order of this epoch, if there was one
 * @param startNanos time at which the epoch began; no earlier leaseholder sends orders after it
 * @param sentNanos time of the last order of this epoch, if one was sent
 */
public record FenceRegistration(
        boolean required, Optional<Long> acceptedNanos, long startNanos, Optional<Long> sentNanos) {
    /** Time without an answer after which the order is repeated; an answer takes a few ms. */
    static final long REPEAT_INTERVAL_NANOS = Duration.ofMillis(300).toNanos();

    /** Promotions take effect up to 1 s after they were accepted; the rest covers the answer. */
    static final long EFFECT_NANOS = Duration.ofMillis(1_200).toNanos();

    /** Rejects null times. */
    public FenceRegistration {
        Objects.requireNonNull(acceptedNanos, "acceptedNanos");
        Objects.requireNonNull(sentNanos, "sentNanos");
    }

    /** Returns the registration of an epoch that begins now. */
    public static FenceRegistration of(PromotionFencing fencing, long epoch, long nowNanos) {
        return new FenceRegistration(
                fencing.registersEpoch() && epoch > 1,
                Optional.empty(),
                nowNanos,
                Optional.empty());
    }

    /** Returns whether no order of an earlier leaseholder can take effect any more. */
    public boolean permitsWrites(long nowNanos) {
        return !required
                || acceptedNanos.filter(at -> nowNanos - at >= EFFECT_NANOS).isPresent()
                || nowNanos - startNanos >= PromotionFencing.MAX_ORDER_DELAY_NANOS;
    }

    /** Returns whether the present primary has to be ordered, so that the number is registered. */
    public boolean isOrderDue(long nowNanos) {
        return !permitsWrites(nowNanos)
                && acceptedNanos.isEmpty()
                && sentNanos.filter(sent -> nowNanos - sent < REPEAT_INTERVAL_NANOS).isEmpty();
    }

    /** Returns the registration after an order of this epoch was sent. */
    public FenceRegistration withOrderSent(long nowNanos) {
        return new FenceRegistration(required, acceptedNanos, startNanos, Optional.of(nowNanos));
    }

    /** Returns the registration after the platform accepted an order of this epoch. */
    public FenceRegistration withAccepted(long nowNanos) {
        return acceptedNanos.isPresent()
                ? this
                : new FenceRegistration(required, Optional.of(nowNanos), startNanos, sentNanos);
    }
}
