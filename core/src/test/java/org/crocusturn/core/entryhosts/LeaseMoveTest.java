package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.crocusturn.core.Decision;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.Leaseholder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a planned move that ends at a host other than its target. Because of this fault, a
 * lease once passed through six hosts within half a second.
 */
class LeaseMoveTest {
    private static final long MS = 1_000_000;
    private static final List<GroupId> GROUPS = List.of(GroupId.of("s", "a"), GroupId.of("s", "b"));

    private LeaderState mState = LeaderState.idle();
    private ControlState mControl =
            InheritedLeaseFixture.of(
                    List.of("a", "b"), new Leaseholder(id(0), "127.0.0.1:0", 0, 1));
    private final List<String> mMoves = new ArrayList<>();
    private final List<String> mAssigned = new ArrayList<>();

    /** Host 0 holds both groups and releases one of them as soon as it is asked to. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 6})
    void endsAMoveAtItsTarget(int hosts) {
        step(new LeaderInput.LeadershipGained(2, mControl), 0);
        for (int round = 1; round <= 30; round++) {
            long now = round * 100 * MS;
            int sequence = round;
            IntStream.range(0, hosts)
                    .forEach(h -> step(new LeaderInput.ReportReceived(report(h, sequence)), now));
            step(new LeaderInput.Tick(), now + MS);
        }
        assertEquals(1, mMoves.size(), mMoves.toString());
        assertEquals(mMoves, mAssigned);
    }

    private void step(LeaderInput input, long nowNanos) {
        Decision<LeaderState, LeaderAction> decision =
                ControlLeader.standard().step(mState, input, nowNanos);
        mState = decision.state();
        for (LeaderAction action : decision.actions()) {
            if (action instanceof LeaderAction.Propose propose) {
                apply(propose.command(), nowNanos);
            }
        }
        GROUPS.stream()
                .flatMap(g -> mState.leases().lease(g).stream())
                .filter(LeaseState::moving)
                .map(l -> l.group() + " to " + l.target().orElseThrow())
                .filter(move -> !mMoves.contains(move))
                .forEach(mMoves::add);
    }

    private void apply(ControlCommand command, long nowNanos) {
        if (command instanceof ControlCommand.AssignLease assign) {
            mAssigned.add(assign.group() + " to " + assign.leaseholder().host());
        }
        long version = mControl.version() + 1;
        mControl = ControlStateMachine.apply(mControl, version, command).state();
        step(new LeaderInput.CommandApplied(version, command, mControl), nowNanos);
    }

    private EntryReport report(int host, long sequence) {
        List<HeldLease> held =
                GROUPS.stream()
                        .flatMap(g -> mState.leases().lease(g).stream())
                        .filter(l -> l.holder().filter(h -> h.host().equals(id(host))).isPresent())
                        .map(l -> new HeldLease(l.group(), l.epoch(), 0, l.moving(), 0))
                        .toList();
        return InheritedLeaseFixture.report(id(host), host, sequence, held);
    }

    private static HostId id(int number) {
        return HostId.of("entry-" + number);
    }
}
