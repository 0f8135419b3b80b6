package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.crocusturn.core.Decision;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.Leaseholder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against leases that go back to processes that have just started, although other hosts ran
 * throughout, against moves that follow each other within seconds, and against leases that leave
 * holders which can relay all that they are asked to. Replays a loss of power of nine core hosts,
 * or of all hosts, beside 58 entry hosts with 0.8 of their capacity and six groups.
 */
class PlacementAfterPowerLossTest {
    private static final long MS = 1_000_000;
    private static final int STEP_MILLIS = 50;
    private static final int REPORT_MILLIS = 200;
    private static final int END_MILLIS = 70_000;

    /** Time at the end in which the load changes once. */
    private static final int QUIET_MILLIS = 22_000;

    private static final int STAY_MILLIS = 10_000;

    /** Time in which callers lose at most one group to a move. */
    private static final int MOVE_INTERVAL_MILLIS = 5_000;

    private static final int ENTRY_HOSTS = 58;
    private static final int CORE_HOSTS = 9;
    private static final int CORE_CAPACITY = 225;
    private static final List<String> DATABASES = List.of("a", "b", "c", "d", "e", "f");
    private static final List<GroupId> GROUPS =
            DATABASES.stream().map(d -> GroupId.of(InheritedLeaseFixture.SERVICE, d)).toList();

    /** An assignment or the begin of a move. */
    private record Event(int millis, GroupId group, String host, boolean move) {}

    private LeaderState mState = LeaderState.idle();
    private ControlState mControl =
            InheritedLeaseFixture.of(
                    DATABASES, new Leaseholder(HostId.of("core-0"), "127.0.0.1:100", 1, 1));
    private final List<Event> mEvents = new ArrayList<>();
    private final Map<GroupId, String> mTargets = new HashMap<>();
    private int mMillis;
    private int mCallsPerSecond;

    @ParameterizedTest(name = "core hosts return after {0} ms and {1} ms, uptime {2} ms")
    @CsvSource({
        // times at which two and the other core hosts report, uptime and capacity of entry hosts,
        // calls per second of each group, hosts that get the leases first, hosts that have them in
        // the end
        "100, 900, 3600000, 180, 240, entry, core",
        "300, 300, 3600000, 180, 240, entry, core",
        "100, 15000, 3600000, 180, 240, entry, core",
        "100, 900, 3600000, 450, 240, entry, entry",
        "100, 900, 3600000, 150, 240, core, core",
        "100, 900, 3600000, 180, 0, entry, core",
        "100, 900, 3600000, 180, 150, entry, entry",
        "300, 300, 3600000, 180, 150, entry, entry",
        // the entry hosts lose power too and return before the core hosts
        "3000, 3500, 2500, 180, 240, entry, core",
        "3000, 3500, 2500, 180, 150, entry, entry",
        // entry hosts of an earlier version, which report no uptime
        "100, 900, 0, 180, 240, core, core"
    })
    void keepsLeasesOnRunningHosts(
            int firstMillis,
            int laterMillis,
            long uptimeMillis,
            int capacity,
            int callsPerSecond,
            String first,
            String last) {
        mCallsPerSecond = callsPerSecond;
        step(new LeaderInput.LeadershipGained(2, mControl));
        for (; mMillis < END_MILLIS; mMillis += STEP_MILLIS) {
            IntStream.range(0, ENTRY_HOSTS)
                    .forEach(n -> report("entry-", n, 0, uptimeMillis, capacity));
            IntStream.range(0, CORE_HOSTS)
                    .forEach(
                            n ->
                                    report(
                                            "core-",
                                            n,
                                            n < 2 ? firstMillis : laterMillis,
                                            0,
                                            CORE_CAPACITY));
            step(new LeaderInput.Tick());
        }
        List<Event> moved = mEvents.stream().filter(Event::move).toList();
        GROUPS.forEach(group -> checkGroup(group, first, last));
        for (int n = 1; n < moved.size(); n++) {
            assertTrue(
                    assignedMillis(moved.get(n - 1)) <= moved.get(n).millis(),
                    "several moves at a time: " + mEvents);
            assertTrue(
                    !first.equals("entry")
                            || mCallsPerSecond == 0
                            || moved.get(n).millis() - moved.get(n - 1).millis()
                                    >= MOVE_INTERVAL_MILLIS,
                    "several groups are not served: " + mEvents);
        }
        assertTrue(!last.equals("entry") || moved.isEmpty(), "needless moves: " + mEvents);
        assertTrue(
                moved.stream().noneMatch(e -> e.millis() > END_MILLIS - QUIET_MILLIS),
                "the load moved leases: " + mEvents);
    }

    private void checkGroup(GroupId group, String first, String last) {
        List<Event> events = mEvents.stream().filter(e -> e.group().equals(group)).toList();
        assertTrue(events.get(0).host().startsWith(first), mEvents.toString());
        assertTrue(events.get(0).millis() <= 1_500, mEvents.toString());
        assertTrue(events.get(events.size() - 1).host().startsWith(last), mEvents.toString());
        for (int n = 1; n < events.size(); n++) {
            assertTrue(
                    !events.get(n).move()
                            || events.get(n).millis() - events.get(n - 1).millis() >= STAY_MILLIS,
                    "moved early: " + mEvents);
        }
    }

    private int assignedMillis(Event move) {
        return mEvents.stream()
                .filter(e -> !e.move() && e.group().equals(move.group()))
                .filter(e -> e.host().equals(move.host()) && e.millis() >= move.millis())
                .findFirst()
                .orElseThrow()
                .millis();
    }

    private void report(String name, int number, int sinceMillis, long uptime, int capacity) {
        int phase = number * 7 % (REPORT_MILLIS / STEP_MILLIS) * STEP_MILLIS;
        int running = mMillis - sinceMillis;
        if (running >= phase && (running - phase) % REPORT_MILLIS == 0) {
            boolean core = name.equals("core-");
            HostId host = HostId.of(name + number);
            long sequence = (running - phase) / REPORT_MILLIS + 1;
            step(
                    new LeaderInput.ReportReceived(
                            new EntryReport(
                                            host,
                                            core ? 2 : 1,
                                            InheritedLeaseFixture.DATA_CENTRE,
                                            "127.0.0.1:" + (number + (core ? 100 : 1)),
                                            sequence,
                                            mControl.version(),
                                            held(host),
                                            load(sequence),
                                            Set.of(),
                                            false,
                                            sequence - 1,
                                            0,
                                            capacity)
                                    .withUptime(uptime > 0 || core ? uptime + running : 0)));
        }
    }

    /** Returns a load that changes by 55% each 15 s. */
    private List<TokenDemand> load(long sequence) {
        long rate = mMillis / 15_000 % 2 == 0 ? 200 : 310;
        return List.of(new TokenDemand(WorkspaceId.of("w"), rate, sequence * rate));
    }

    private List<HeldLease> held(HostId host) {
        return GROUPS.stream()
                .flatMap(g -> mState.leases().lease(g).stream())
                .filter(l -> l.epoch() > 1)
                .filter(l -> l.holder().filter(h -> h.host().equals(host)).isPresent())
                .map(l -> new HeldLease(l.group(), l.epoch(), 0, l.moving(), 0, 0, mCallsPerSecond))
                .toList();
    }

    private void step(LeaderInput input) {
        Decision<LeaderState, LeaderAction> decision =
                ControlLeader.standard().step(mState, input, mMillis * MS);
        mState = decision.state();
        decision.actions().stream()
                .filter(LeaderAction.Propose.class::isInstance)
                .map(action -> ((LeaderAction.Propose) action).command())
                .forEach(this::apply);
        for (GroupId group : GROUPS) {
            mState.leases()
                    .lease(group)
                    .flatMap(LeaseState::target)
                    .map(HostId::value)
                    .filter(target -> !target.equals(mTargets.put(group, target)))
                    .ifPresent(t -> mEvents.add(new Event(mMillis, group, t, true)));
        }
    }

    private void apply(ControlCommand command) {
        if (command instanceof ControlCommand.AssignLease assign) {
            String host = assign.leaseholder().host().value();
            mEvents.add(new Event(mMillis, assign.group(), host, false));
        }
        long version = mControl.version() + 1;
        mControl = ControlStateMachine.apply(mControl, version, command).state();
        step(new LeaderInput.CommandApplied(version, command, mControl));
    }
}
