package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.Service;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against misrouted statements, lost commits, stale reads and unsafe promotions. */
class HeldGroupTest {
    private static final GroupId GROUP = GroupId.of("taftish-db", Service.WHOLE);
    private static final HostId ORIGIN = HostId.of("entry-2.1");
    private static final DataCentreId MARKA = DataCentreId.of("marka");

    private final FakeGroupPorts mPorts = new FakeGroupPorts();
    private HeldGroup mGroup;
    private long mCall;

    @BeforeEach
    void hold() {
        mPorts.mStatuses.put("p", new ReplicationStatus(true, 1, LogPosition.of(1, 10), 0));
        mPorts.mStatuses.put("r", new ReplicationStatus(false, 1, LogPosition.of(1, 10), 0));
        mPorts.mStatuses.put("s", new ReplicationStatus(false, 1, LogPosition.of(1, 9), 0));
        mGroup = new HeldGroup(GROUP, 1, settings(Set.of(), ""), mPorts);
        ticks(3);
        assertTrue(mGroup.keeper().writable().isPresent());
    }

    private void ticks(int count) {
        for (int i = 0; i < count; i++) {
            mPorts.mNow += 20_000_000;
            mGroup.tick(mPorts.mNow);
            mPorts.tellStatuses();
        }
    }

    private static GroupSettings settings(Set<DataCentreId> drained, String leaving) {
        return new GroupSettings(
                Stream.of("p", "r", "s")
                        .map(
                                id ->
                                        new EndpointRecord(
                                                EndpointId.of(id),
                                                "taftish-db",
                                                DataCentreId.of("dc-" + id),
                                                "127.0.0.1:1",
                                                "",
                                                List.of(new DatabaseRecord(Service.WHOLE, 2, 16)),
                                                id.equals(leaving),
                                                1))
                        .toList(),
                drained,
                16,
                Duration.ofSeconds(3),
                MARKA,
                List.of());
    }

    private long call(TransactionStep step, StatementKind kind, Consistency consistency) {
        mCall++;
        mGroup.arrive(
                ORIGIN,
                new SessionCall(
                        mCall,
                        7,
                        GROUP,
                        1,
                        WorkspaceId.of("schools"),
                        new SessionCall.Terms(consistency, 1_500, 1, 800),
                        step,
                        new SessionStatement("id" + mCall, kind, "x", "", kind + " x"),
                        Optional.empty(),
                        Map.of(),
                        LogPosition.ZERO));
        mPorts.openAll();
        return mCall;
    }

    private Failure failure(long call) {
        return mPorts.mReplies.get(call).failure().orElseThrow();
    }

    /** Guards against a result that answers the first call of its transaction, not its own call. */
    @Test
    void answersEachStatementOfATransaction() {
        long first = call(TransactionStep.BEGIN, StatementKind.READ, Consistency.PRIMARY);
        mPorts.answer(
                SessionCommand.Begin.class,
                FakeGroupPorts.done(SessionResult.State.TRANSACTION, 10));
        mPorts.answer(
                SessionCommand.Run.class, FakeGroupPorts.done(SessionResult.State.TRANSACTION, 10));
        long second = call(TransactionStep.CONTINUE, StatementKind.WRITE, Consistency.PRIMARY);
        mPorts.answer(
                SessionCommand.Run.class, FakeGroupPorts.done(SessionResult.State.TRANSACTION, 10));
        long commit = call(TransactionStep.CONTINUE, StatementKind.COMMIT, Consistency.PRIMARY);
        mPorts.answer(SessionCommand.Run.class, FakeGroupPorts.done(SessionResult.State.IDLE, 11));
        assertEquals(Set.of(first, second, commit), mPorts.mReplies.keySet());
        assertEquals(Optional.of(LogPosition.of(1, 11)), mPorts.mReplies.get(commit).committed());
        assertEquals(LogPosition.of(1, 11), mGroup.history().orElseThrow().latest());
        assertEquals(0, mGroup.busy());
    }

    /** The next leaseholder may already serve reads that do not see the commit. */
    @Test
    void acknowledgesNoCommitWithoutTheLease() {
        long write = call(TransactionStep.NONE, StatementKind.WRITE, Consistency.PRIMARY);
        mPorts.mLease = false;
        mPorts.answer(SessionCommand.Run.class, FakeGroupPorts.done(SessionResult.State.IDLE, 11));
        assertEquals(Verdict.MAY_HAVE_RUN, failure(write).verdict());
        assertEquals(LogPosition.of(1, 10), mGroup.history().orElseThrow().latest());
    }

    static Stream<Arguments> needs() {
        return Stream.of(
                Arguments.of(Consistency.PRIMARY, 12L),
                Arguments.of(Consistency.OWN_WRITES, 10L),
                Arguments.of(Consistency.STATED_AGE, 10L));
    }

    /** Commits at 11 and 12 were acknowledged less than the stated 1,500 ms ago. */
    @ParameterizedTest
    @MethodSource("needs")
    void asksForThePositionThatTheRouteNeeds(Consistency consistency, long index) {
        for (long next = 11; next <= 12; next++) {
            call(TransactionStep.NONE, StatementKind.WRITE, Consistency.PRIMARY);
            mPorts.answer(
                    SessionCommand.Run.class, FakeGroupPorts.done(SessionResult.State.IDLE, next));
        }
        call(TransactionStep.NONE, StatementKind.READ, consistency);
        SessionCommand.Run run =
                (SessionCommand.Run)
                        mPorts.mSent.stream()
                                .map(FakeGroupPorts.Sent::command)
                                .filter(SessionCommand.Run.class::isInstance)
                                .findFirst()
                                .orElseThrow();
        assertEquals(Optional.of(LogPosition.of(1, index)), run.after());
    }

    static Stream<Arguments> losses() {
        return Stream.of(
                Arguments.of(StatementKind.READ, Optional.empty()),
                Arguments.of(StatementKind.WRITE, Optional.of(Verdict.MAY_HAVE_RUN)));
    }

    /** After a connection loss a read runs on another copy; a write must not run twice. */
    @ParameterizedTest
    @MethodSource("losses")
    void repeatsOnlyReads(StatementKind kind, Optional<Verdict> verdict) {
        long lost = call(TransactionStep.NONE, kind, Consistency.STATED_AGE);
        FakeGroupPorts.Sent sent =
                mPorts.mSent.stream()
                        .filter(s -> s.command() instanceof SessionCommand.Run)
                        .findFirst()
                        .orElseThrow();
        sent.session().task().orElseThrow().lost(sent.session(), ConnectionLoss.CLOSED, "");
        mPorts.openAll();
        assertEquals(
                verdict,
                Optional.ofNullable(mPorts.mReplies.get(lost))
                        .flatMap(SessionOutcome::failure)
                        .map(Failure::verdict));
        long again =
                mPorts.mSent.stream()
                        .filter(s -> s.command() instanceof SessionCommand.Run)
                        .filter(s -> !s.endpoint().equals(sent.endpoint()))
                        .count();
        assertEquals(verdict.isEmpty() ? 1 : 0, again);
    }

    @Test
    void triesABusyCopyNoMore() {
        long read = call(TransactionStep.NONE, StatementKind.READ, Consistency.STATED_AGE);
        mPorts.answer(
                SessionCommand.Run.class,
                FakeGroupPorts.failed(EndpointError.LAGGING, SessionResult.State.IDLE));
        mPorts.openAll();
        mPorts.answer(SessionCommand.Run.class, FakeGroupPorts.done(SessionResult.State.IDLE, 10));
        assertTrue(mPorts.mReplies.get(read).failure().isEmpty());
    }

    @Test
    void refusesWhatWaitsTooLong() {
        mPorts.mToken = false;
        long read = call(TransactionStep.NONE, StatementKind.READ, Consistency.STATED_AGE);
        ticks(6);
        assertEquals(ErrorCode.RATE_LIMITED, failure(read).code());
        assertEquals(Verdict.NOT_RUN, failure(read).verdict());
    }

    private void killPrimary() {
        mPorts.mStatuses.remove("p");
        CopyPool primary = mGroup.pool(EndpointId.of("p")).orElseThrow();
        mGroup.doubt(primary);
        mPorts.mNow += 1_000_000_000L;
    }

    /** The copy with the newest position is promoted after the replicas are paused. */
    @Test
    void promotesTheNewestReplica() {
        killPrimary();
        ticks(4);
        assertEquals(List.of("r 1"), mPorts.mOrders);
        assertTrue(mGroup.keeper().writable().isEmpty());
        mGroup.keeper().ordered(EndpointId.of("r"), PromotionService.Answer.ACCEPTED);
        mPorts.mStatuses.put("r", new ReplicationStatus(true, 2, LogPosition.of(1, 10), 0));
        ticks(6);
        assertEquals("r", mGroup.keeper().writable().orElseThrow().record().id().value());
    }

    /** The next leaseholder may have paused the replicas; interfering could lose commits. */
    @Test
    void leavesTheGroupAloneWithoutTheLease() {
        killPrimary();
        mPorts.mLease = false;
        mPorts.mSent.clear();
        ticks(20);
        assertTrue(mPorts.mOrders.isEmpty());
        assertFalse(
                mPorts.mSent.stream()
                        .anyMatch(
                                s ->
                                        s.command() instanceof SessionCommand.PauseReplication
                                                || s.command()
                                                        instanceof
                                                        SessionCommand.ResumeReplication));
    }

    @Test
    void givesTheEpochBackWhenItsNumberIsRefused() {
        killPrimary();
        ticks(4);
        mGroup.keeper().ordered(EndpointId.of("r"), PromotionService.Answer.REFUSED);
        assertEquals(1, mPorts.mGivenBack);
    }

    static Stream<Arguments> departures() {
        return Stream.of(
                Arguments.of("its endpoint leaves", settings(Set.of(), "p")),
                Arguments.of(
                        "its data centre is drained",
                        settings(Set.of(DataCentreId.of("dc-p")), "")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("departures")
    void movesAPrimaryThatMayNotServe(String what, GroupSettings settings) {
        mGroup.update(settings);
        ticks(10);
        assertEquals(List.of("r 1"), mPorts.mOrders, what);
        call(TransactionStep.NONE, StatementKind.READ, Consistency.STATED_AGE);
        assertTrue(
                mPorts.mSent.stream()
                        .filter(s -> s.command() instanceof SessionCommand.Run)
                        .noneMatch(s -> s.endpoint().equals("p")),
                what);
    }

    /**
     * Guards against a new leaseholder without connections: the previous one, partitioned from the
     * control hosts but not from the endpoints, kept its connections until the partition healed.
     */
    @ParameterizedTest
    @CsvSource({"5, true, true", "11, false, true", "30, false, true"})
    void givesItsConnectionsUpWhenTheLeaseHasEnded(int ticks, boolean keeps, boolean servesAgain) {
        call(TransactionStep.NONE, StatementKind.READ, Consistency.PRIMARY);
        mPorts.mLease = false;
        ticks(ticks);
        assertEquals(keeps, mGroup.pools().stream().anyMatch(p -> !p.sessions().isEmpty()));
        mPorts.mLease = true;
        ticks(4);
        assertEquals(servesAgain, mGroup.keeper().writable().isPresent());
    }
}
