package org.crocusturn.daemon.callers;

import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.entryhosts.ForwardedRequest;

/** Sends requests to the leaseholders of their groups; called from the ingress duty. */
public interface RequestDispatcher {
    /** Passes a request to the coordinator of this host; returns false if its ring is full. */
    boolean dispatchLocally(GroupRequest request, long epoch);

    /** Forwards a request to another entry host; returns false if it was not sent. */
    boolean forward(HostId host, String address, ForwardedRequest request);
}
