package org.crocusturn.daemon.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.Sha256;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.EntryHost;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.entryhosts.ControlLeader;
import org.crocusturn.core.entryhosts.LeaderAction;
import org.crocusturn.core.entryhosts.LeaderInput;
import org.crocusturn.core.entryhosts.LeaderState;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.PromotionMode;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Route;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.SessionLimits;
import org.crocusturn.core.operators.Workspace;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against changes in quick succession that fill the link of an entry host. Each was sent as
 * a whole configuration, together with all others that the host had not confirmed, so that
 * statements waited for seconds and hosts refused calls because their state was out of date.
 */
class ChangeSeriesTest {
    private static final long MS = 1_000_000;
    private static final HostId HOST = HostId.of("entry-1");
    private static final int WORKSPACES = 76;
    private static final int KEYS_PER_WORKSPACE = 2;
    private static final int SERVICES = 6;

    /** Routes besides the three of each service, which no caller uses. */
    private static final int IDLE_ROUTES = 40;

    /** Rate of a link of 2 Mbit/s in bytes per millisecond. */
    private static final long LINK_BYTES_PER_MILLI = 250;

    private static final long NETWORK_DELAY_MILLIS = 1;

    /** Interval of the reports of a host without leases. */
    private static final long REPORT_INTERVAL_MILLIS = 350;

    private static final long TICK_INTERVAL_MILLIS = 20;

    /** Interval between the commands of a series, long enough for one push each. */
    private static final long COMMAND_INTERVAL_MILLIS = 25;

    private static final int COMMANDS = 5;
    private static final long SECOND_MILLIS = 1_000;

    /** Bytes per second that a host may spend for control, from the size to design for. */
    private static final long MAX_BYTES_PER_SECOND = 21_000;

    private final ControlLeader mLeader = ControlLeader.standard();
    private final EntryHost mSelf =
            new EntryHost(HOST, 1, DataCentreId.of("delft"), "127.0.0.1:1", 0);
    private final Deque<Arrival> mLink = new ArrayDeque<>();
    private LeaderState mState = LeaderState.idle();
    private ControlState mControl = ControlState.EMPTY;
    private ControlView mView = ControlView.empty();
    private long mNowMillis = 1_000;
    private long mLinkFreeMillis;
    private long mSentBytes;

    /** An update and the time at which its last byte arrives at the host. */
    private record Arrival(long millis, ControlUpdate update) {}

    /** Series of commands that follow each other before the host confirms the first of them. */
    private enum Series {
        ROUTES_ADDED {
            @Override
            ControlCommand command(ControlState state, int number) {
                List<Route> routes =
                        Stream.concat(
                                        state.configuration().routes().stream(),
                                        Stream.of(route("new" + number, "service0")))
                                .toList();
                return replacement(state.configuration().version() + 3, routes);
            }
        },
        ROUTES_REMOVED {
            @Override
            ControlCommand command(ControlState state, int number) {
                List<Route> routes = state.configuration().routes();
                return replacement(
                        state.configuration().version() + 3, routes.subList(1, routes.size()));
            }
        },
        OLD_VERSIONS {
            @Override
            ControlCommand command(ControlState state, int number) {
                return replacement(1, List.of());
            }
        },
        ONE_CHANGE_AMONG_ENDPOINTS {
            @Override
            ControlCommand command(ControlState state, int number) {
                return number == 0
                        ? ROUTES_ADDED.command(state, number)
                        : new ControlCommand.RegisterEndpoint(endpoint(number));
            }
        };

        abstract ControlCommand command(ControlState state, int number);
    }

    private static Route route(String name, String service) {
        return new Route(
                "route-" + name,
                "database-" + name,
                service,
                Consistency.OWN_WRITES,
                Duration.ofMillis(2_500),
                Duration.ofMillis(1_000),
                Duration.ofMillis(400),
                2,
                false);
    }

    private static EndpointRecord endpoint(int number) {
        return new EndpointRecord(
                EndpointId.of("endpoint-" + number),
                "service0",
                DataCentreId.of("delft"),
                "10.0.0.1:" + (8_000 + number),
                "",
                List.of(new DatabaseRecord(Service.SINGLE_DATABASE, 6, 220)),
                false,
                number);
    }

    private static ControlCommand replacement(long version, List<Route> routes) {
        Set<String> services =
                new HashSet<>(IntStream.range(0, SERVICES).mapToObj(n -> "service" + n).toList());
        List<WorkspaceId> workspaces =
                IntStream.range(0, WORKSPACES)
                        .mapToObj(n -> WorkspaceId.of("workspace" + n))
                        .toList();
        Configuration configuration =
                new Configuration(
                        version,
                        List.of(),
                        workspaces.stream()
                                .map(w -> new Workspace(w, rate(), services, Map.of()))
                                .toList(),
                        services.stream().sorted().map(ChangeSeriesTest::service).toList(),
                        List.of(),
                        Map.of(),
                        workspaces.stream().flatMap(ChangeSeriesTest::keys).toList(),
                        routes,
                        SessionLimits.DEFAULT,
                        "the text that the operator sent");
        return new ControlCommand.ReplaceConfiguration("change-" + version, configuration);
    }

    private static RateLimit rate() {
        return new RateLimit(88, 88);
    }

    private static Service service(String name) {
        return new Service(
                name,
                List.of(Service.SINGLE_DATABASE),
                3,
                6,
                220,
                AcknowledgeMode.DURABLE,
                true,
                PromotionMode.LEASEHOLDER);
    }

    private static Stream<KeyRecord> keys(WorkspaceId workspace) {
        return IntStream.range(0, KEYS_PER_WORKSPACE)
                .mapToObj(n -> workspace.value() + "-key-" + n)
                .map(id -> new KeyRecord(id, Sha256.hex(id), workspace));
    }

    /** Lets a host follow a leader that has a configuration of the usual size. */
    @BeforeEach
    void startWithConfiguration() {
        Stream<Route> used =
                IntStream.range(0, SERVICES)
                        .boxed()
                        .flatMap(
                                s ->
                                        IntStream.range(0, 3)
                                                .mapToObj(n -> route(s + "-" + n, "service" + s)));
        Stream<Route> idle =
                IntStream.range(0, IDLE_ROUTES).mapToObj(n -> route("idle" + n, "service0"));
        ControlCommand first = replacement(7, Stream.concat(used, idle).toList());
        mControl = ControlStateMachine.apply(mControl, 1, first).state();
        step(new LeaderInput.LeadershipGained(1, mControl));
        play(2 * SECOND_MILLIS, Series.ROUTES_ADDED, 0);
        assertEquals(mControl.version(), mView.state().version());
    }

    /** The target holds for each second from the first command on. */
    @ParameterizedTest
    @EnumSource(Series.class)
    void staysWithinTheBytesForControl(Series series) {
        for (int second = 0; second < 3; second++) {
            mSentBytes = 0;
            play(SECOND_MILLIS, series, second == 0 ? COMMANDS : 0);
            assertTrue(
                    mSentBytes <= MAX_BYTES_PER_SECOND, mSentBytes + " bytes in second " + second);
        }
    }

    /** A host that receives differences must end with the content that the operator sent. */
    @ParameterizedTest
    @EnumSource(Series.class)
    void leadsToTheStateOfTheLeader(Series series) {
        play(SECOND_MILLIS, series, COMMANDS);
        play(2 * SECOND_MILLIS, series, 0);
        ControlState state = mView.state();
        assertEquals(mControl.version(), state.version());
        assertEquals(mControl.configuration().version(), state.configuration().version());
        assertEquals(
                Set.copyOf(mControl.configuration().routes()),
                Set.copyOf(state.configuration().routes()));
        assertEquals(
                Set.copyOf(mControl.configuration().workspaces()),
                Set.copyOf(state.configuration().workspaces()));
        assertEquals(mControl.keys(), state.keys());
        assertEquals(mControl.endpoints(), state.endpoints());
        assertEquals(mControl.placements(), state.placements());
        assertEquals(mControl.groups(), state.groups());
        assertEquals("", state.configuration().document());
    }

    private void play(long millis, Series series, int commands) {
        long start = mNowMillis;
        int applied = 0;
        for (; mNowMillis < start + millis; mNowMillis++) {
            long elapsed = mNowMillis - start;
            if (applied < commands && elapsed >= applied * COMMAND_INTERVAL_MILLIS) {
                apply(series.command(mControl, applied));
                applied++;
            }
            while (!mLink.isEmpty() && mLink.peek().millis() <= mNowMillis) {
                mView = mView.withUpdate(mLink.remove().update(), mNowMillis * MS);
            }
            if (mNowMillis % TICK_INTERVAL_MILLIS == 0) {
                step(new LeaderInput.Tick());
            }
            if (mNowMillis % REPORT_INTERVAL_MILLIS == 0) {
                report();
            }
        }
    }

    private void apply(ControlCommand command) {
        long version = mControl.version() + 1;
        mControl = ControlStateMachine.apply(mControl, version, command).state();
        step(new LeaderInput.CommandApplied(version, command, mControl));
    }

    private void report() {
        EntryReport report = mView.nextReport(mSelf, List.of(), List.of(), 0, Set.of(), false);
        mView = mView.withReportSent(report.sequence(), mNowMillis * MS);
        step(new LeaderInput.ReportReceived(report));
    }

    private void step(LeaderInput input) {
        Decision<LeaderState, LeaderAction> decision = mLeader.step(mState, input, mNowMillis * MS);
        mState = decision.state();
        decision.actions().stream()
                .filter(LeaderAction.SendUpdate.class::isInstance)
                .map(LeaderAction.SendUpdate.class::cast)
                .map(LeaderAction.SendUpdate::update)
                .forEach(this::send);
    }

    private void send(ControlUpdate update) {
        byte[] bytes = PeerMessageCodec.encode(update);
        mSentBytes += bytes.length;
        mLinkFreeMillis =
                Math.max(mLinkFreeMillis, mNowMillis) + bytes.length / LINK_BYTES_PER_MILLI;
        ControlUpdate received = (ControlUpdate) PeerMessageCodec.decode(bytes);
        mLink.add(new Arrival(mLinkFreeMillis + NETWORK_DELAY_MILLIS, received));
    }
}
