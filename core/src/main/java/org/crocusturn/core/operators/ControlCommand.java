package org.crocusturn.core.operators;

import java.util.Objects;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;

/** Is a change of the replicated state; control hosts apply committed commands in log order. */
public sealed interface ControlCommand {
    /** Marks the commands of operators, which carry a change id and can be sent again. */
    sealed interface OperatorCommand extends ControlCommand {
        /** Returns the id that the operator chose; equal ids mean the same change. */
        String changeId();
    }

    /** Replaces the configuration; its version must follow the current one. */
    record ApplyConfiguration(String changeId, Configuration configuration)
            implements OperatorCommand {
        /** Checks that no part is null. */
        public ApplyConfiguration {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(configuration, "configuration");
        }
    }

    /**
     * Puts a configuration in force unless one of a higher version is; an equal version with other
     * content is refused. Keys that it does not hold are withdrawn.
     */
    record ReplaceConfiguration(String changeId, Configuration configuration)
            implements OperatorCommand {
        /** Checks that no part is null. */
        public ReplaceConfiguration {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(configuration, "configuration");
        }

        /** Returns a copy without the operator's text. */
        public ReplaceConfiguration withoutDocument() {
            return new ReplaceConfiguration(changeId, configuration.withoutDocument());
        }
    }

    /** Adds a key. */
    record IssueKey(String changeId, KeyRecord key) implements OperatorCommand {
        /** Checks that no part is null. */
        public IssueKey {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(key, "key");
        }
    }

    /** Removes a key for ever. */
    record WithdrawKey(String changeId, String keyId) implements OperatorCommand {
        /** Checks that no part is null. */
        public WithdrawKey {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(keyId, "keyId");
        }
    }

    /** Takes a data centre out of service or brings it back. */
    record SetDataCentreDrained(String changeId, DataCentreId dataCentre, boolean drained)
            implements OperatorCommand {
        /** Checks that no part is null. */
        public SetDataCentreDrained {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(dataCentre, "dataCentre");
        }
    }

    /** Adds an endpoint or replaces what is known of it. */
    record RegisterEndpoint(EndpointRecord endpoint) implements ControlCommand {
        /** Checks that no part is null. */
        public RegisterEndpoint {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** Removes an endpoint that left. */
    record RemoveEndpoint(EndpointId endpoint) implements ControlCommand {
        /** Checks that no part is null. */
        public RemoveEndpoint {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** Assigns a group lease; refused unless the epoch follows the last one. */
    record AssignLease(GroupId group, Leaseholder leaseholder) implements ControlCommand {
        /** Checks that no part is null. */
        public AssignLease {
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(leaseholder, "leaseholder");
        }
    }

    /** Records that the holder of an epoch released the lease or let it run out. */
    record ReleaseLease(GroupId group, long epoch) implements ControlCommand {
        /** Checks that no part is null. */
        public ReleaseLease {
            Objects.requireNonNull(group, "group");
        }
    }

    /** Starts a failover; refused unless the term follows the current one. */
    record BeginFailover(GroupId group, long term) implements ControlCommand {
        /** Checks that no part is null. */
        public BeginFailover {
            Objects.requireNonNull(group, "group");
        }
    }

    /** Records the primary of the term that a failover started. */
    record CompletePromotion(GroupId group, long term, EndpointId primary, long startIndex)
            implements ControlCommand {
        /** Checks that no part is null. */
        public CompletePromotion {
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(primary, "primary");
        }
    }
}
