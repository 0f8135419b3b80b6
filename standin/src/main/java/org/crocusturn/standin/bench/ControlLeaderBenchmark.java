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

/** Measures steps of the control leader by the number of entry hosts. */
@State(Scope.Benchmark)
public class ControlLeaderBenchmark {
    private static final long REPORT_NANOS = 200_000_000;

    /** Rounds of reports after which the leader grants leases and rate tokens. */
    private static final int ROUNDS = 8;

    /** Number of entry hosts; there are 40 groups for 17 hosts, as in the plan. */
    @Param({"6", "60", "600", "6800"})
    public int mHosts;

    private final ControlLeader mLeader = ControlLeader.standard();
    private int mGroups;
    private LeaderState mState;
    private LeaderState mBase;
    private long mBaseNow;
    private List<EntryReport> mReports;
    private LeaderInput mChange;
    private long mSequence = 1;
    private int mNext;
    private long mNow = 1_000_000_000L;

    /** Lets all hosts report and all endpoints be seen. */
    @Setup
    public void prepare() {
        mGroups = Math.max(1, mHosts * 40 / 17);
        ControlState control = Fleets.state(mGroups, mHosts);
        step(new LeaderInput.LeadershipGained(1, control), LeaderState.idle());
        mReports =
                IntStream.range(0, mHosts)
                        .mapToObj(n -> Fleets.report(n, mHosts, mGroups, 1))
                        .toList();
        for (int i = 0; i < ROUNDS * mHosts; i++) {
            nextReport();
        }
        control.endpoints().values().forEach(this::see);
        mBase = mState;
        mBaseNow = mNow;
        ControlCommand command =
                new ControlCommand.AssignLease(
                        Fleets.group(0),
                        new org.crocusturn.core.operators.Leaseholder(
                                Fleets.host(1), "10.0.0.1:7000", Fleets.INCARNATION, 13));
        mChange =
                new LeaderInput.CommandApplied(
                        1_001, command, ControlStateMachine.apply(control, 1_001, command).state());
    }

    private void see(EndpointRecord endpoint) {
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

    private List<LeaderAction> step(LeaderInput input, LeaderState from) {
        Decision<LeaderState, LeaderAction> decision = mLeader.step(from, input, mNow);
        mState = decision.state();
        return decision.actions();
    }

    private List<LeaderAction> nextReport() {
        if (mNext == mHosts) {
            mNext = 0;
            mSequence++;
        }
        mNow += REPORT_NANOS / mHosts;
        EntryReport known = mReports.get(mNext++);
        EntryReport next =
                new EntryReport(
                        known.host(),
                        known.incarnation(),
                        known.dataCentre(),
                        known.linkAddress(),
                        mSequence,
                        known.knownVersion(),
                        known.leases(),
                        known.demands(),
                        known.suspects(),
                        false,
                        mSequence - 1);
        return step(new LeaderInput.ReportReceived(next), mState);
    }

    /** Takes in the report of one host and makes its update. */
    @Benchmark
    public List<LeaderAction> report() {
        return nextReport();
    }

    /** Passes time; the leader does it every 20 ms. */
    @Benchmark
    public Object tick() {
        return mLeader.step(mBase, new LeaderInput.Tick(), mBaseNow);
    }

    /** Takes in a committed lease and pushes it to all hosts. */
    @Benchmark
    public Object changeAndPush() {
        return mLeader.step(mBase, mChange, mBaseNow + 30_000_000);
    }
}
