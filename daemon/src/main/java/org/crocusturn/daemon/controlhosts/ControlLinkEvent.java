package org.crocusturn.daemon.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.operators.UsageWindow;

/** An event of {@link ControlLinkDuty}. */
public sealed interface ControlLinkEvent {
    /** A link to a control host opened. */
    record LinkOpened(HostId host) implements ControlLinkEvent {
        /** Checks that the host is not null. */
        public LinkOpened {
            Objects.requireNonNull(host, "host");
        }
    }

    /** A link to a control host closed. */
    record LinkClosed(HostId host) implements ControlLinkEvent {
        /** Checks that the host is not null. */
        public LinkClosed {
            Objects.requireNonNull(host, "host");
        }
    }

    /** A control host sent a message. */
    record MessageReceived(HostId host, PeerMessage message) implements ControlLinkEvent {
        /** Checks that no part is null. */
        public MessageReceived {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * The content of the next report changed.
     *
     * @param leases group leases that the host holds or has released
     * @param demands rate tokens that it needs
     * @param holdingsTerm leader term up to which the demands include all tokens that the host
     *     holds; 0 if they do not
     * @param urgent whether the report should be sent immediately
     */
    record ReportChanged(
            List<HeldLease> leases, List<TokenDemand> demands, long holdingsTerm, boolean urgent)
            implements ControlLinkEvent {
        /** Copies the lists. */
        public ReportChanged {
            leases = List.copyOf(leases);
            demands = List.copyOf(demands);
        }
    }

    /**
     * Calls wait for rate tokens.
     *
     * @param demands demands of the workspaces whose tokens ran out
     */
    record TokensNeeded(List<TokenDemand> demands) implements ControlLinkEvent {
        /** Copies the list. */
        public TokensNeeded {
            demands = List.copyOf(demands);
        }
    }

    /**
     * Requests of workspaces were counted.
     *
     * @param windows counts that have changed
     */
    record UsageCounted(List<UsageWindow> windows) implements ControlLinkEvent {
        /** Copies the list. */
        public UsageCounted {
            windows = List.copyOf(windows);
        }
    }

    /** An endpoint refused or reset a connection. */
    record EndpointSuspected(EndpointId endpoint) implements ControlLinkEvent {
        /** Checks that the endpoint is not null. */
        public EndpointSuspected {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** This entry host is stopping. */
    record HostStopping() implements ControlLinkEvent {}
}
