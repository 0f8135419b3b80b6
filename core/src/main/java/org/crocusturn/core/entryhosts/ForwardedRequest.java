package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.callers.GroupRequest;

/**
 * Message that forwards a request from the entry host that received it to the leaseholder of its
 * group.
 *
 * @param request the request; its id is unique within the sender
 * @param epoch lease epoch known to the sender; a holder of another epoch answers "moved"
 */
public record ForwardedRequest(GroupRequest request, long epoch) implements PeerMessage {
    /** Checks that the request is not null. */
    public ForwardedRequest {
        Objects.requireNonNull(request, "request");
    }
}
