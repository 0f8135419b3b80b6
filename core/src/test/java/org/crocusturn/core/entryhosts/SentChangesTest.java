package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a leader that repeats a configuration in the answer to each report that was sent
 * before the host received it. The repetitions filled the links of hosts that report often, which
 * delayed the confirmation and caused further repetitions.
 */
class SentChangesTest {
    private static final long MS = 1_000_000;
    private static final HostId HOST = HostId.of("h");
    private static final ControlLeader LEADER = ControlLeader.standard();

    private LeaderState mState = LeaderState.idle();
    private long mSequence;

    @ParameterizedTest
    @CsvSource({
        // time of the second report, known version, link closed before it, changes sent again
        "20, 0, false, false",
        "450, 0, false, false",
        "520, 0, false, true",
        "20, 0, true, true",
        "520, 1, false, false"
    })
    void repeatsChangesOnlyWhenTheyMayBeLost(
            long millis, long knownVersion, boolean linkClosed, boolean repeated) {
        ControlCommand command = command();
        ControlState control = ControlStateMachine.apply(ControlState.EMPTY, 1, command).state();
        step(new LeaderInput.LeadershipGained(1, ControlState.EMPTY), 0);
        step(new LeaderInput.CommandApplied(1, command, control), 0);
        assertEquals(true, hasChanges(report(0, 1_000).orElseThrow()));
        if (linkClosed) {
            step(new LeaderInput.EntryLinkClosed(HOST), 1_001);
        }
        ControlUpdate second = report(knownVersion, 1_000 + millis).orElseThrow();
        assertEquals(repeated, hasChanges(second));
        boolean upToDate = repeated || knownVersion == 1;
        assertEquals(upToDate, second.freshnessMillis() > 0, "only a current state is fresh");
    }

    /**
     * Guards against a new leader that sends a configuration to a hundred hosts again and again
     * while they receive it, and so does nothing else.
     */
    @ParameterizedTest
    @CsvSource({"400, 1", "1400, 2", "3400, 3", "7400, 4", "10000, 5"})
    void repeatsUnconfirmedChangesLessAndLessOften(long millis, long expected) {
        step(
                new LeaderInput.LeadershipGained(
                        1, ControlStateMachine.apply(ControlState.EMPTY, 1, command()).state()),
                0);
        long sent =
                LongStream.iterate(0, at -> at <= millis, at -> at + 20)
                        .filter(at -> hasChanges(report(0, 1_000 + at).orElseThrow()))
                        .count();
        assertEquals(expected, sent);
    }

    /**
     * Guards against a leader that sends all unconfirmed changes again with each further one, which
     * filled the links of hosts during a series of changes.
     */
    @ParameterizedTest
    @CsvSource({
        // interval of the changes in ms, changes sent to a host that confirms none of them
        "20, 2 3 4 5 6",
        "100, 2 3 4 5 6",
        "200, 2 3 4 2-5 6",
        "400, 2 3 2-4 5 6"
    })
    void sendsOnlyWhatFollowsUnconfirmedChanges(long interval, String expected) {
        ControlState control = ControlStateMachine.apply(ControlState.EMPTY, 1, command()).state();
        step(new LeaderInput.LeadershipGained(1, control), 0);
        report(1, 1_000);
        List<String> sent = new ArrayList<>();
        for (long version = 2; version <= 6; version++) {
            ControlCommand change = new ControlCommand.RemoveEndpoint(EndpointId.of("e"));
            control = control.withVersion(version);
            long millis = 1_000 + (version - 1) * interval;
            Stream.of(
                            step(new LeaderInput.CommandApplied(version, change, control), millis),
                            report(1, millis))
                    .flatMap(Optional::stream)
                    .filter(SentChangesTest::hasChanges)
                    .map(SentChangesTest::versions)
                    .forEach(sent::add);
        }
        assertEquals(expected, String.join(" ", sent));
    }

    private static String versions(ControlUpdate update) {
        List<StateUpdate.VersionedCommand> commands =
                ((StateUpdate.Changes) update.state()).commands();
        long first = commands.get(0).version();
        long last = commands.get(commands.size() - 1).version();
        return first == last ? "" + first : first + "-" + last;
    }

    /** Guards against a state that is encoded once for each host. */
    @Test
    void sendsOneInstanceToAllHosts() {
        CommandHistory history =
                CommandHistory.of(
                        ControlStateMachine.apply(ControlState.EMPTY, 1, command()).state());
        assertSame(history.since(0), history.since(0));
    }

    private static ControlCommand command() {
        return new ControlCommand.ReplaceConfiguration(
                "c",
                new Configuration(
                        7, List.of(), List.of(), List.of(), List.of(), Map.of(), List.of()));
    }

    private static boolean hasChanges(ControlUpdate update) {
        return !(update.state() instanceof StateUpdate.Unchanged);
    }

    private Optional<ControlUpdate> report(long knownVersion, long millis) {
        return step(
                new LeaderInput.ReportReceived(
                        new EntryReport(
                                HOST,
                                1,
                                DataCentreId.of("n"),
                                "127.0.0.1:1",
                                ++mSequence,
                                knownVersion,
                                List.of(),
                                List.of(),
                                Set.of(),
                                false,
                                mSequence - 1)),
                millis);
    }

    private Optional<ControlUpdate> step(LeaderInput input, long millis) {
        Decision<LeaderState, LeaderAction> decision = LEADER.step(mState, input, millis * MS);
        mState = decision.state();
        return decision.actions().stream()
                .filter(LeaderAction.SendUpdate.class::isInstance)
                .map(a -> ((LeaderAction.SendUpdate) a).update())
                .findFirst();
    }
}
