package org.crocusturn.core.operators;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;

/** A change of the replicated state. Control hosts apply committed commands in log order. */
public sealed interface ControlCommand {
    /** Size in memory that is assumed for a command without a configuration, in bytes. */
    long SMALL_COMMAND_BYTES = 512;

    /**
     * Returns the approximate size of the command in memory, in bytes. It bounds the queues and
     * buffers that hold commands, because a configuration may be a thousand times as large as
     * another command.
     */
    default long approximateBytes() {
        return SMALL_COMMAND_BYTES;
    }

    /** Returns whether the command changes state that entry hosts act on. */
    default boolean concernsEntryHosts() {
        return !(this instanceof AssignUsageDuty
                || this instanceof CloseUsageWindow
                || this instanceof ConfirmUsageReport);
    }

    /** A command of an operator, which has a change id so that it can be retried. */
    sealed interface OperatorCommand extends ControlCommand {
        /** Returns the id that the operator gave the change; equal ids denote the same change. */
        String changeId();
    }

    /** Replaces the configuration; rejected unless its version is the current version plus one. */
    record ApplyConfiguration(String changeId, Configuration configuration)
            implements OperatorCommand {
        /** Checks that no component is null. */
        public ApplyConfiguration {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(configuration, "configuration");
        }

        @Override
        public long approximateBytes() {
            return SMALL_COMMAND_BYTES + configuration.approximateBytes();
        }
    }

    /**
     * Puts a configuration in force unless a higher version is in force. The same version with
     * different content is rejected. Keys that are not in the configuration are withdrawn.
     */
    record ReplaceConfiguration(String changeId, Configuration configuration)
            implements OperatorCommand {
        /** Checks that no component is null. */
        public ReplaceConfiguration {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(configuration, "configuration");
        }

        @Override
        public long approximateBytes() {
            return SMALL_COMMAND_BYTES + configuration.approximateBytes();
        }
    }

    /**
     * What a command did to a configuration, for hosts that follow the state. It is never proposed,
     * because control hosts keep the operator's text as well.
     *
     * @param changeId id of the operator's change
     * @param delta difference between the configurations in force before and after the command;
     *     empty if the command was rejected or changed nothing
     * @param withdrawsKeys whether keys that the configuration does not list are withdrawn, as by
     *     {@link ReplaceConfiguration}
     */
    record PatchConfiguration(String changeId, ConfigurationDelta delta, boolean withdrawsKeys)
            implements ControlCommand {
        /** Checks that no component is null. */
        public PatchConfiguration {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(delta, "delta");
        }

        @Override
        public long approximateBytes() {
            return SMALL_COMMAND_BYTES + delta.approximateBytes();
        }

        /** Returns the command of the operator, given the configuration that it changes. */
        OperatorCommand toOperatorCommand(Configuration base) {
            Configuration next = delta.applyTo(base);
            return withdrawsKeys
                    ? new ReplaceConfiguration(changeId, next)
                    : new ApplyConfiguration(changeId, next);
        }
    }

    /** Adds a key. */
    record IssueKey(String changeId, KeyRecord key) implements OperatorCommand {
        /** Checks that no component is null. */
        public IssueKey {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(key, "key");
        }
    }

    /** Withdraws a key permanently. */
    record WithdrawKey(String changeId, String keyId) implements OperatorCommand {
        /** Checks that no component is null. */
        public WithdrawKey {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(keyId, "keyId");
        }
    }

    /**
     * Takes a data centre out of service or brings it back.
     *
     * @param changeId id of the change
     * @param dataCentre the data centre
     * @param drained whether it goes out of service
     * @param precedingOrder state version of the latest order for the data centre that the sender
     *     may have known, 0 if there was none; the command is rejected if it would undo a later
     *     order. Empty if it may undo any.
     */
    record SetDataCentreDrained(
            String changeId,
            DataCentreId dataCentre,
            boolean drained,
            Optional<Long> precedingOrder)
            implements OperatorCommand {
        /** Checks that no component is null. */
        public SetDataCentreDrained {
            Objects.requireNonNull(changeId, "changeId");
            Objects.requireNonNull(dataCentre, "dataCentre");
            Objects.requireNonNull(precedingOrder, "precedingOrder");
        }

        /** Creates a command that may undo any earlier order. */
        public SetDataCentreDrained(String changeId, DataCentreId dataCentre, boolean drained) {
            this(changeId, dataCentre, drained, Optional.empty());
        }
    }

    /**
     * Records that all acknowledged commits of a group are in the logs of its primary and of an
     * announced replica; ignored unless the lease has the epoch.
     *
     * @param group the group
     * @param epoch epoch of the leaseholder that found this out
     * @param version version of the state whose endpoints the leaseholder knew
     */
    record ConfirmCoverage(GroupId group, long epoch, long version) implements ControlCommand {
        /** Checks that the group is not null. */
        public ConfirmCoverage {
            Objects.requireNonNull(group, "group");
        }
    }

    /** Adds an endpoint or replaces its record. */
    record RegisterEndpoint(EndpointRecord endpoint) implements ControlCommand {
        /** Checks that no component is null. */
        public RegisterEndpoint {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** Removes an endpoint that has left. */
    record RemoveEndpoint(EndpointId endpoint) implements ControlCommand {
        /** Checks that no component is null. */
        public RemoveEndpoint {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** Assigns a group lease; ignored unless the epoch is the last epoch plus one. */
    record AssignLease(GroupId group, Leaseholder leaseholder) implements ControlCommand {
        /** Checks that no component is null. */
        public AssignLease {
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(leaseholder, "leaseholder");
        }
    }

    /** Records that the lease of an epoch was released or has expired. */
    record ReleaseLease(GroupId group, long epoch) implements ControlCommand {
        /** Checks that no component is null. */
        public ReleaseLease {
            Objects.requireNonNull(group, "group");
        }
    }

    /** Starts a failover; ignored unless the term is the current term plus one. */
    record BeginFailover(GroupId group, long term) implements ControlCommand {
        /** Checks that no component is null. */
        public BeginFailover {
            Objects.requireNonNull(group, "group");
        }
    }

    /** Records the primary of the term that a failover began. */
    record CompletePromotion(GroupId group, long term, EndpointId primary, long startIndex)
            implements ControlCommand {
        /** Checks that no component is null. */
        public CompletePromotion {
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(primary, "primary");
        }
    }

    /**
     * Names the control host that sends usage reports; ignored unless the fencing number is the
     * last one plus one.
     */
    record AssignUsageDuty(HostId host, long fence) implements ControlCommand {
        /** Checks that no component is null. */
        public AssignUsageDuty {
            Objects.requireNonNull(host, "host");
        }
    }

    /**
     * Decides the content of the usage report for a window; ignored unless the fencing number is
     * that of the present holder and no later window is closed.
     */
    record CloseUsageWindow(long fence, UsageWindow window) implements ControlCommand {
        /** Size in memory that is assumed for the count of a workspace, in bytes. */
        private static final long COUNT_BYTES = 128;

        /** Checks that no component is null. */
        public CloseUsageWindow {
            Objects.requireNonNull(window, "window");
        }

        @Override
        public long approximateBytes() {
            return SMALL_COMMAND_BYTES + COUNT_BYTES * window.counts().size();
        }
    }

    /** Records that the platform has acknowledged the usage report for a window. */
    record ConfirmUsageReport(long window) implements ControlCommand {}
}
