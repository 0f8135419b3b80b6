package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
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
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against misrouted statements, lost commits, stale reads and unsafe promotions. */
class LeasedGroupTest {
    private static final GroupId GROUP = GroupId.of("taftish-db", Service.SINGLE_DATABASE);
    private static final HostId ORIGIN = HostId.of("entry-2.1");
    private static final DataCentreId MARKA = DataCentreId.of("marka");

    private final FakeGroupContext mContext = new FakeGroupContext();
    private LeasedGroup mGroup;
    private long mLastCall;

    @BeforeEach
    void createGroup() {
        mContext.mStatuses.put("p", new ReplicationStatus(true, 1, LogPosition.of(1, 10), 0));
        mContext.mStatuses.put("r", new ReplicationStatus(false, 1, LogPosition.of(1, 10), 0));
        mContext.mStatuses.put("s", new ReplicationStatus(false, 1, LogPosition.of(1, 9), 0));
        mGroup = new LeasedGroup(GROUP, 1, settings(Set.of(), ""), mContext);
        tick(3);
        assertTrue(mGroup.failover().writablePrimary().isPresent());
    }

    private void tick(int count) {
        for (int i = 0; i < count; i++) {
            mContext.mNowNanos += 20_000_000;
            mGroup.tick(mContext.mNowNanos);
            mContext.answerStatusCommands();
        }
    }

    private static GroupSettings settings(Set<DataCentreId> drained, String leaving) {
        return settings(drained, leaving, 2);
    }

    private static GroupSettings settings(Set<DataCentreId> drained, String leaving, int slots) {
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
                                                List.of(
                                                        new DatabaseRecord(
                                                                Service.SINGLE_DATABASE,
                                                                slots,
                                                                16)),
                                                id.equals(leaving),
                                                1))
                        .toList(),
                drained,
                16,
                Duration.ofSeconds(3),
                MARKA,
                List.of(),
                true,
                new GroupSettings.Copies(1, 3, true));
    }

    private long call(TransactionStep step, StatementKind kind, Consistency consistency) {
        return call(step, kind, consistency, 1);
    }

    private long call(
            TransactionStep step, StatementKind kind, Consistency consistency, int priority) {
        return call("schools", step, kind, consistency, priority);
    }

    private long call(
            String workspace,
            TransactionStep step,
            StatementKind kind,
            Consistency consistency,
            int priority) {
        mLastCall++;
        mGroup.submit(
                ORIGIN,
                new SessionCall(
                        mLastCall,
                        7,
                        GROUP,
                        1,
                        WorkspaceId.of(workspace),
                        new SessionCall.Options(consistency, 1_500, priority, 800),
                        step,
                        new SessionStatement("id" + mLastCall, kind, "x", "", kind + " x"),
                        Optional.empty(),
                        Map.of(),
                        LogPosition.ZERO));
        mContext.openAll();
        return mLastCall;
    }

    /**
     * Guards against a leaseholder that uses all of its processor to look at waiting calls: the
     * more calls wait, the fewer it serves.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 20, 70})
    void looksAtNoWaitingCallWhileAllSlotsAreBusy(int waiting) {
        IntStream.rangeClosed(1, mGroup.slots() + waiting)
                .forEach(
                        n ->
                                call(
                                        "w" + n,
                                        TransactionStep.NONE,
                                        StatementKind.READ,
                                        Consistency.STATED_AGE,
                                        1));
        assertEquals(waiting, mGroup.queued().size());
        mContext.mLooks = 0;
        mGroup.dispatch();
        assertEquals(0, mContext.mLooks);
    }

    private Failure failure(long call) {
        return mContext.mReplies.get(call).failure().orElseThrow();
    }

    /**
     * Guards against a number of slots in the replicated state whose sum or product overflows, so
     * that the queue of the group has a negative limit or its primary never has a free slot.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 10_000, 30_000_000, 1_000_000_000, Integer.MAX_VALUE})
    void runsStatementsWithAnyNumberOfSlots(int slots) {
        mGroup = new LeasedGroup(GROUP, 1, settings(Set.of(), "", slots), mContext);
        tick(3);
        long write = call(TransactionStep.NONE, StatementKind.WRITE, Consistency.PRIMARY);
        mContext.answer(
                SessionCommand.Run.class, FakeGroupContext.done(SessionResult.State.IDLE, 11));
        assertEquals(Optional.empty(), mContext.mReplies.get(write).failure());
    }

    /**
     * Guards against a priority at the end of its type that ends the process or runs out of order.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 2147483647",
        "2147483646, 2147483647",
        "2147483647, 2147483647",
        "-2147483648, 2147483647",
        "-2147483648, -2147483648"
    })
    void runsCallsOfAnyPriorityInOrder(int higher, int lower) {
        long arrived = call(TransactionStep.NONE, StatementKind.WRITE, Consistency.PRIMARY, lower);
        mContext.answer(
                SessionCommand.Run.class, FakeGroupContext.done(SessionResult.State.IDLE, 11));
        assertEquals(Optional.empty(), mContext.mReplies.get(arrived).failure());

        mContext.mTokenAvailable = false;
        long first = call(TransactionStep.NONE, StatementKind.WRITE, Consistency.PRIMARY, lower);
        long second = call(TransactionStep.NONE, StatementKind.WRITE, Consistency.PRIMARY, higher);
        mContext.mTokenAvailable = true;
        mGroup.dispatch();
        mContext.openAll();
        assertEquals(
                higher < lower
                        ? List.of("id" + second, "id" + first)
                        : List.of("id" + first, "id" + second),
                mContext.mSent.stream()
                        .map(FakeGroupContext.Sent::command)
                        .filter(SessionCommand.Run.class::isInstance)
                        .map(run -> ((SessionCommand.Run) run).statement().id())
                        .toList());
    }

    /** Guards against a result that answers the first call of its transaction, not its own call. */
    @Test
    void answersEachStatementOfTransaction() {
        long first = call(TransactionStep.BEGIN, StatementKind.READ, Consistency.PRIMARY);
        mContext.answer(
                SessionCommand.Begin.class,
                FakeGroupContext.done(SessionResult.State.TRANSACTION, 10));
        mContext.answer(
                SessionCommand.Run.class,
                FakeGroupContext.done(SessionResult.State.TRANSACTION, 10));
        long second = call(TransactionStep.CONTINUE, StatementKind.WRITE, Consistency.PRIMARY);
        mContext.answer(
                SessionCommand.Run.class,
                FakeGroupContext.done(SessionResult.State.TRANSACTION, 10));
        long commit = call(TransactionStep.CONTINUE, StatementKind.COMMIT, Consistency.PRIMARY);
        mContext.answer(
                SessionCommand.Run.class, FakeGroupContext.done(SessionResult.State.IDLE, 11));
        assertEquals(Set.of(first, second, commit), mContext.mReplies.keySet());
        assertEquals(Optional.of(LogPosition.of(1, 11)), mContext.mReplies.get(commit).committed());
        assertEquals(LogPosition.of(1, 11), mGroup.history().orElseThrow().latest());
        assertEquals(0, mGroup.activeCount());
    }

    /** The next leaseholder may already serve reads that do not see the commit. */
    @Test
    void acknowledgesNoCommitWithoutLease() {
        long write = call(TransactionStep.NONE, StatementKind.WRITE, Consistency.PRIMARY);
        mContext.mLeaseValid = false;
        mContext.answer(
                SessionCommand.Run.class, FakeGroupContext.done(SessionResult.State.IDLE, 11));
        assertEquals(Verdict.MAY_HAVE_RUN, failure(write).verdict());
        assertEquals(LogPosition.of(1, 10), mGroup.history().orElseThrow().latest());
    }

    static Stream<Arguments> consistencies() {
        return Stream.of(
                Arguments.of(Consistency.PRIMARY, 12L),
                Arguments.of(Consistency.OWN_WRITES, 10L),
                Arguments.of(Consistency.STATED_AGE, 10L));
    }

    /** Commits at 11 and 12 were acknowledged less than the stated 1,500 ms ago. */
    @ParameterizedTest
    @MethodSource("consistencies")
    void requiresPositionForConsistency(Consistency consistency, long index) {
        for (long next = 11; next <= 12; next++) {
            call(TransactionStep.NONE, StatementKind.WRITE, Consistency.PRIMARY);
            mContext.answer(
                    SessionCommand.Run.class,
                    FakeGroupContext.done(SessionResult.State.IDLE, next));
        }
        call(TransactionStep.NONE, StatementKind.READ, consistency);
        SessionCommand.Run run =
                (SessionCommand.Run)
                        mContext.mSent.stream()
                                .map(FakeGroupContext.Sent::command)
                                .filter(SessionCommand.Run.class::isInstance)
                                .findFirst()
                                .orElseThrow();
        assertEquals(Optional.of(LogPosition.of(1, index)), run.minimumPosition());
    }

    static Stream<Arguments> losses() {
        return Stream.of(
                Arguments.of(StatementKind.READ, Optional.empty()),
                Arguments.of(StatementKind.WRITE, Optional.of(Verdict.MAY_HAVE_RUN)));
    }

    /** After a connection loss a read runs on another copy; a write must not run twice. */
    @ParameterizedTest
    @MethodSource("losses")
    void retriesOnlyReadsAfterConnectionLoss(StatementKind kind, Optional<Verdict> verdict) {
        long lost = call(TransactionStep.NONE, kind, Consistency.STATED_AGE);
        FakeGroupContext.Sent sent =
                mContext.mSent.stream()
                        .filter(s -> s.command() instanceof SessionCommand.Run)
                        .findFirst()
                        .orElseThrow();
        sent.session().task().orElseThrow().onLost(sent.session(), ConnectionLoss.CLOSED, "");
        mContext.openAll();
        assertEquals(
                verdict,
                Optional.ofNullable(mContext.mReplies.get(lost))
                        .flatMap(SessionOutcome::failure)
                        .map(Failure::verdict));
        long again =
                mContext.mSent.stream()
                        .filter(s -> s.command() instanceof SessionCommand.Run)
                        .filter(s -> !s.endpoint().equals(sent.endpoint()))
                        .count();
        assertEquals(verdict.isEmpty() ? 1 : 0, again);
    }

    @Test
    void retriesLaggingReadOnAnotherCopy() {
        long read = call(TransactionStep.NONE, StatementKind.READ, Consistency.STATED_AGE);
        mContext.answer(
                SessionCommand.Run.class,
                FakeGroupContext.failed(EndpointError.LAGGING, SessionResult.State.IDLE));
        mContext.openAll();
        mContext.answer(
                SessionCommand.Run.class, FakeGroupContext.done(SessionResult.State.IDLE, 10));
        assertTrue(mContext.mReplies.get(read).failure().isEmpty());
    }

    @Test
    void refusesCallAfterQueueTimeout() {
        mContext.mTokenAvailable = false;
        long read = call(TransactionStep.NONE, StatementKind.READ, Consistency.STATED_AGE);
        tick(6);
        assertEquals(ErrorCode.RATE_LIMITED, failure(read).code());
        assertEquals(Verdict.NOT_RUN, failure(read).verdict());
    }

    private void failPrimary() {
        mContext.mStatuses.remove("p");
        CopyPool primary = mGroup.pool(EndpointId.of("p")).orElseThrow();
        mGroup.checkHealth(primary);
        mContext.mNowNanos += 1_000_000_000L;
    }

    /** The copy with the newest position is promoted after the replicas are paused. */
    @Test
    void promotesNewestReplica() {
        failPrimary();
        tick(4);
        assertEquals(List.of("r 1"), mContext.mPromotions);
        assertTrue(mGroup.failover().writablePrimary().isEmpty());
        mGroup.failover().onPromotionAnswer(EndpointId.of("r"), PromotionService.Answer.ACCEPTED);
        mContext.mStatuses.put("r", new ReplicationStatus(true, 2, LogPosition.of(1, 10), 0));
        tick(6);
        assertEquals("r", mGroup.failover().writablePrimary().orElseThrow().record().id().value());
    }

    /** The next leaseholder may have paused the replicas; interfering could lose commits. */
    @Test
    void sendsNoFailoverCommandsWithoutLease() {
        failPrimary();
        mContext.mLeaseValid = false;
        mContext.mSent.clear();
        tick(20);
        assertTrue(mContext.mPromotions.isEmpty());
        assertFalse(
                mContext.mSent.stream()
                        .anyMatch(
                                s ->
                                        s.command() instanceof SessionCommand.PauseReplication
                                                || s.command()
                                                        instanceof
                                                        SessionCommand.ResumeReplication));
    }

    @Test
    void givesLeaseBackWhenFencingNumberIsRefused() {
        failPrimary();
        tick(4);
        mGroup.failover().onPromotionAnswer(EndpointId.of("r"), PromotionService.Answer.REFUSED);
        assertEquals(1, mContext.mLeasesGivenBack);
    }

    static Stream<Arguments> unavailablePrimaries() {
        return Stream.of(
                Arguments.of("its endpoint leaves", settings(Set.of(), "p")),
                Arguments.of(
                        "its data centre is drained",
                        settings(Set.of(DataCentreId.of("dc-p")), "")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("unavailablePrimaries")
    void movesUnavailablePrimary(String what, GroupSettings settings) {
        mGroup.update(settings);
        tick(10);
        assertEquals(List.of("r 1"), mContext.mPromotions, what);
        call(TransactionStep.NONE, StatementKind.READ, Consistency.STATED_AGE);
        assertTrue(
                mContext.mSent.stream()
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
    void closesConnectionsAfterLeaseExpiry(int ticks, boolean keeps, boolean servesAgain) {
        call(TransactionStep.NONE, StatementKind.READ, Consistency.PRIMARY);
        mContext.mLeaseValid = false;
        tick(ticks);
        assertEquals(keeps, mGroup.pools().stream().anyMatch(p -> !p.sessions().isEmpty()));
        mContext.mLeaseValid = true;
        tick(4);
        assertEquals(servesAgain, mGroup.failover().writablePrimary().isPresent());
    }
}
