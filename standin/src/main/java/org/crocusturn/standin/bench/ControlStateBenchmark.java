package org.crocusturn.standin.bench;

import java.util.List;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.endpoints.GroupView;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.Leaseholder;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures changes of the replicated control state by the number of groups. */
@State(Scope.Benchmark)
public class ControlStateBenchmark {
    /** Number of groups. */
    @Param({"16", "160", "1600", "16000"})
    public int mGroups;

    private ControlState mState;
    private ControlView mView;
    private GroupView mGroupView;
    private ControlCommand mLeaseCommand;
    private ControlCommand mConfigurationCommand;

    /** Creates the state, the commands and the views. */
    @Setup
    public void prepare() {
        mState = SyntheticStates.state(mGroups, 4);
        mLeaseCommand =
                new ControlCommand.AssignLease(
                        SyntheticStates.group(0),
                        new Leaseholder(
                                SyntheticStates.host(1),
                                "10.0.0.1:7000",
                                SyntheticStates.INCARNATION,
                                13));
        mConfigurationCommand =
                new ControlCommand.ApplyConfiguration(
                        "change-2", nextVersion(SyntheticStates.configuration(mGroups)));
        mView =
                ControlView.empty()
                        .withReportSent(1, 0)
                        .withUpdate(update(1, new StateUpdate.Replacement(mState)), 1)
                        .withReportSent(2, 2);
        mGroupView = GroupView.of(mView, SyntheticStates.group(0));
    }

    private static org.crocusturn.core.operators.Configuration nextVersion(
            org.crocusturn.core.operators.Configuration configuration) {
        return new org.crocusturn.core.operators.Configuration(
                configuration.version() + 1,
                configuration.dataCentres(),
                configuration.workspaces(),
                configuration.services(),
                configuration.openRoutes());
    }

    private static ControlUpdate update(long sequence, StateUpdate state) {
        return new ControlUpdate(1, sequence, 1_001, state, 1_500, List.of(), List.of());
    }

    /** Applies a command that assigns a lease. */
    @Benchmark
    public Object applyLease() {
        return ControlStateMachine.apply(mState, 1_001, mLeaseCommand);
    }

    /** Applies a command that replaces the whole configuration. */
    @Benchmark
    public Object applyConfiguration() {
        return ControlStateMachine.apply(mState, 1_001, mConfigurationCommand);
    }

    /** Applies an update with a new lease to the view of an entry host. */
    @Benchmark
    public Object viewWithLease() {
        return mView.withUpdate(
                update(
                        2,
                        new StateUpdate.Changes(
                                1_000,
                                List.of(new StateUpdate.VersionedCommand(1_001, mLeaseCommand)))),
                3);
    }

    /** Applies an update without changes to the view of an entry host. */
    @Benchmark
    public Object viewUnchanged() {
        return mView.withUpdate(update(2, new StateUpdate.Unchanged()), 3);
    }

    /** Renews the lease in the view of one group; runs for each held group on each update. */
    @Benchmark
    public Object groupViewRenewed() {
        return mGroupView.withLease(mView);
    }

    /** Derives the view of one group; runs for each held group on each new state. */
    @Benchmark
    public Object groupView() {
        return GroupView.of(mView, SyntheticStates.group(0));
    }
}
