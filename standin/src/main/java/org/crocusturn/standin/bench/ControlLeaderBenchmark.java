package org.crocusturn.standin.bench;

import java.util.List;
import java.util.stream.IntStream;
import org.crocusturn.core.Decision;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.entryhosts.ControlLeader;
import org.crocusturn.core.entryhosts.LeaderAction;
import org.crocusturn.core.entryhosts.LeaderInput;
import org.crocusturn.core.entryhosts.LeaderState;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.EndpointRecord;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the decisions of the control leader by the number of entry hosts. */
@State(Scope.Benchmark)
public class ControlLeaderBenchmark {
    private static final long REPORT_INTERVAL_NANOS = 200_000_000;

    /** Number of rounds of reports after which the leader grants leases and rate tokens. */
    private static final int REPORT_ROUNDS = 8;

    /** Number of entry hosts, with 40 groups per 17 hosts as in the capacity plan. */
    @Param({"6", "60", "600", "6800"})
    public int mHosts;

    private final ControlLeader mLeader = ControlLeader.standard();
    private int mGroups;
    private LeaderState mState;
    private LeaderState mSteadyState;
    private long mSteadyNanos;
    private List<EntryReport> mReports;
    private LeaderInput mLeaseChange;
    private long mSequence = 1;
    private int mNextHost;
    private long mNowNanos = 1_000_000_000L;

    /** Brings the leader to a steady state: all hosts report and all endpoints are observed. */
    @Setup
    public void prepare() {
        mGroups = Math.max(1, mHosts * 40 / 17);
        ControlState control = SyntheticStates.state(mGroups, mHosts);
        step(new LeaderInput.LeadershipGained(1, control), LeaderState.idle());
        mReports =
                IntStream.range(0, mHosts)
                        .mapToObj(n -> SyntheticStates.report(n, mHosts, mGroups, 1))
                        .toList();
        for (int i = 0; i < REPORT_ROUNDS * mHosts; i++) {
            applyNextReport();
        }
        control.endpoints().values().forEach(this::observe);
        mSteadyState = mState;
        mSteadyNanos = mNowNanos;
        ControlCommand command =
                new ControlCommand.AssignLease(
                        SyntheticStates.group(0),
                        new org.crocusturn.core.operators.Leaseholder(
                                SyntheticStates.host(1),
                                "10.0.0.1:7000",
                                SyntheticStates.INCARNATION,
                                13));
        mLeaseChange =
                new LeaderInput.CommandApplied(
                        1_001, command, ControlStateMachine.apply(control, 1_001, command).state());
    }

    private void observe(EndpointRecord endpoint) {
        List<CopyStatus> copies =
                endpoint.databases().stream().map(d -> status(endpoint, d.name())).toList();
        step(
                new LeaderInput.EndpointObserved(
                        new EndpointObservation.StatusReceived(endpoint.id(), copies)),
                mState);
    }

    private static CopyStatus status(EndpointRecord endpoint, String database) {
        Role role = endpoint.id().value().endsWith("-0") ? Role.PRIMARY : Role.REPLICA;
        return new CopyStatus(database, role, 3, LogPosition.of(3, 50), 0);
    }

    private List<LeaderAction> step(LeaderInput input, LeaderState state) {
        Decision<LeaderState, LeaderAction> decision = mLeader.step(state, input, mNowNanos);
        mState = decision.state();
        return decision.actions();
    }

    private List<LeaderAction> applyNextReport() {
        if (mNextHost == mHosts) {
            mNextHost = 0;
            mSequence++;
        }
        mNowNanos += REPORT_INTERVAL_NANOS / mHosts;
        EntryReport template = mReports.get(mNextHost++);
        EntryReport next =
                new EntryReport(
                        template.host(),
                        template.incarnation(),
                        template.dataCentre(),
                        template.linkAddress(),
                        mSequence,
                        template.knownVersion(),
                        template.leases(),
                        template.demands(),
                        template.suspects(),
                        false,
                        mSequence - 1);
        return step(new LeaderInput.ReportReceived(next), mState);
    }

    /** Handles the report of one host and creates the update that answers it. */
    @Benchmark
    public List<LeaderAction> report() {
        return applyNextReport();
    }

    /** Handles a timer tick, which occurs every 20 ms. */
    @Benchmark
    public Object tick() {
        return mLeader.step(mSteadyState, new LeaderInput.Tick(), mSteadyNanos);
    }

    /** Handles a committed lease and pushes it to all hosts. */
    @Benchmark
    public Object changeAndPush() {
        return mLeader.step(mSteadyState, mLeaseChange, mSteadyNanos + 30_000_000);
    }
}
