package org.crocusturn.standin.bench;

import java.util.List;
import java.util.stream.IntStream;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.controlhosts.Consensus;
import org.crocusturn.core.controlhosts.ConsensusInput;
import org.crocusturn.core.controlhosts.ConsensusMessage;
import org.crocusturn.core.controlhosts.ConsensusState;
import org.crocusturn.core.controlhosts.LogContent;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.operators.ControlCommand;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures how a follower handles an append request by its number of entries. */
@State(Scope.Benchmark)
public class ConsensusBenchmark {
    /** Number of entries in the append request; a heartbeat has none. */
    @Param({"0", "1", "16", "256"})
    public int mEntries;

    private ConsensusState mState;
    private ConsensusInput mAppend;

    /** Creates a follower with an empty log, and the append request. */
    @Setup
    public void prepare() {
        Membership members =
                new Membership(
                        IntStream.range(0, 3)
                                .mapToObj(
                                        n ->
                                                new Member(
                                                        SyntheticStates.host(n),
                                                        "10.0.0.9:" + n,
                                                        true))
                                .toList());
        mState = ConsensusState.bootstrapping(SyntheticStates.host(0), members, 1, 0);
        List<LogEntry> log =
                IntStream.rangeClosed(1, mEntries)
                        .mapToObj(
                                n ->
                                        new LogEntry(
                                                LogPosition.of(1, n),
                                                new LogContent.CommandContent(
                                                        n,
                                                        new ControlCommand.ReleaseLease(
                                                                SyntheticStates.group(n), 12))))
                        .toList();
        mAppend =
                new ConsensusInput.Received(
                        SyntheticStates.host(1),
                        new ConsensusMessage.AppendRequest(
                                1, SyntheticStates.host(1), LogPosition.ZERO, log, 0, 1));
    }

    /** Handles the append request. */
    @Benchmark
    public Object append() {
        return Consensus.step(mState, mAppend, 1_000_000);
    }
}
