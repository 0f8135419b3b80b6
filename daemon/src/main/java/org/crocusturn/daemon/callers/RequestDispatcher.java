package org.crocusturn.daemon.callers;

import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.entryhosts.ForwardedRequest;

/** Brings requests to the leaseholders of their groups; called from the ingress duty. */
public interface RequestDispatcher {
    /** Hands a request to this host's own coordinator; false if it cannot be taken now. */
    boolean dispatchLocally(GroupRequest request, long epoch);

    /** Forwards a request to another entry host; false if it was not sent. */
    boolean forward(HostId host, String address, ForwardedRequest request);
}
