package org.crocusturn.standin.bench;

import java.util.List;
import java.util.stream.IntStream;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.LeaseGrant;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.controlhosts.TokenGrant;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.Leaseholder;

/** Creates the messages and records whose encoding is measured. */
final class ControlMessages {
    private ControlMessages() {}

    /** Returns an update for a host that holds the given number of leases. */
    static ControlUpdate update(int leases, StateUpdate state) {
        return new ControlUpdate(
                1,
                100,
                1_001,
                state,
                1_500,
                IntStream.range(0, leases)
                        .mapToObj(
                                n -> new LeaseGrant(SyntheticStates.group(n), 12, 1_000, 3, false))
                        .toList(),
                IntStream.range(0, leases)
                        .mapToObj(
                                n ->
                                        new TokenGrant(
                                                SyntheticStates.workspace(n),
                                                1_000 + n,
                                                120,
                                                1_000))
                        .toList());
    }

    /** Returns a state update that assigns one lease. */
    static StateUpdate leaseChange() {
        return change(
                new ControlCommand.AssignLease(
                        SyntheticStates.group(0),
                        new Leaseholder(
                                SyntheticStates.host(1),
                                "10.0.0.1:7000",
                                SyntheticStates.INCARNATION,
                                13)));
    }

    /** Returns a state update that replaces the whole configuration. */
    static StateUpdate configurationChange(int groups) {
        return change(
                new ControlCommand.ApplyConfiguration(
                        "change-2", SyntheticStates.configuration(groups)));
    }

    /** Returns a snapshot of a state with the given number of groups. */
    static Snapshot snapshot(int groups) {
        Membership members =
                new Membership(List.of(new Member(SyntheticStates.host(0), "10.0.0.9:1", true)));
        return new Snapshot(LogPosition.of(4, 1_000), members, SyntheticStates.state(groups, 4));
    }

    private static StateUpdate change(ControlCommand command) {
        return new StateUpdate.Changes(
                1_000, List.of(new StateUpdate.VersionedCommand(1_001, command)));
    }
}
