package org.crocusturn.daemon.endpoints;

import java.util.Objects;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;

/**
 * A request to the platform to make an endpoint the primary of a group.
 *
 * @param group the group
 * @param endpoint the endpoint
 * @param fence fencing number, which increases with each change of the leaseholder
 * @param expiresNanos end of the lease, in the monotonic time of this host; the order must not
 *     leave the host later, because the next leaseholder may already have sent one
 */
public record PromotionOrder(GroupId group, EndpointId endpoint, long fence, long expiresNanos) {
    /** Rejects null components. */
    public PromotionOrder {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
