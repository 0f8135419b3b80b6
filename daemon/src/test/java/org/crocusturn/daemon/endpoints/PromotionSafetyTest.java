package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.CheckedFencing;
import org.crocusturn.core.endpoints.PromotionFencing;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.endpoints.UncheckedFencing;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.Service;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against commits that a promotion loses: acknowledged at a primary that is being replaced,
 * or undone by an order that the platform carries out late.
 */
class PromotionSafetyTest {
    private static final GroupId GROUP = GroupId.of("service", Service.SINGLE_DATABASE);
    private static final long CALL = 1;

    /** Ticks of 20 ms until a promotion that was accepted has taken effect. */
    private static final int EFFECT_TICKS = 61;

    private final FakeGroupContext mContext = new FakeGroupContext();
    private LeasedGroup mGroup;

    private void createGroup(PromotionFencing fencing, long epoch) {
        mContext.mFencing = fencing;
        mContext.mStatuses.put("p", status(true, 1, 10));
        mContext.mStatuses.put("r", status(false, 1, 10));
        mContext.mStatuses.put("s", status(false, 1, 9));
        mGroup = new LeasedGroup(GROUP, epoch, settings(), mContext);
        tick(3);
        if (fencing.registersEpoch() && epoch > 1) {
            assertEquals(Optional.empty(), writablePrimary());
            answerOrder("p", PromotionService.Answer.ACCEPTED);
            tick(EFFECT_TICKS);
        }
        assertEquals(Optional.of("p"), writablePrimary());
    }

    private static ReplicationStatus status(boolean primary, long term, long index) {
        return new ReplicationStatus(primary, term, LogPosition.of(1, index), 0);
    }

    private static GroupSettings settings() {
        return new GroupSettings(
                Stream.of("p", "r", "s")
                        .map(
                                id ->
                                        new EndpointRecord(
                                                EndpointId.of(id),
                                                "service",
                                                DataCentreId.of("dc"),
                                                "127.0.0.1:1",
                                                "",
                                                List.of(
                                                        new DatabaseRecord(
                                                                Service.SINGLE_DATABASE, 2, 16)),
                                                false,
                                                1))
                        .toList(),
                Set.of(),
                16,
                Duration.ofSeconds(3),
                DataCentreId.of("dc"),
                List.of(),
                true,
                new GroupSettings.Copies(1, 3, true));
    }

    private void tick(int count) {
        for (int i = 0; i < count; i++) {
            mContext.mNowNanos += 20_000_000;
            mGroup.tick(mContext.mNowNanos);
            mContext.answerStatusCommands();
        }
    }

    private Optional<String> writablePrimary() {
        return mGroup.failover().writablePrimary().map(p -> p.record().id().value());
    }

    private void startWrite() {
        start(StatementKind.WRITE);
    }

    private void start(StatementKind kind) {
        mGroup.submit(
                HostId.of("entry-2.1"),
                new SessionCall(
                        CALL,
                        7,
                        GROUP,
                        1,
                        WorkspaceId.of("schools"),
                        new SessionCall.Options(Consistency.PRIMARY, 1_500, 1, 30_000),
                        TransactionStep.NONE,
                        new SessionStatement("id1", kind, "x", "", kind + " x"),
                        Optional.empty(),
                        Map.of(),
                        LogPosition.ZERO));
        mContext.openAll();
    }

    private Optional<Verdict> answerWrite() {
        mContext.answer(
                SessionCommand.Run.class, FakeGroupContext.done(SessionResult.State.IDLE, 11));
        SessionOutcome outcome = mContext.mReplies.get(CALL);
        return outcome.failure().map(f -> f.verdict());
    }

    /** Makes the primary silent until the leaseholder has ordered another one. */
    private void orderReplica() {
        mContext.mStatuses.remove("p");
        mGroup.checkHealth(mGroup.pool(EndpointId.of("p")).orElseThrow());
        mContext.mNowNanos += 1_000_000_000L;
        tick(4);
        assertTrue(mContext.mPromotions.contains("r " + mGroup.epoch()), "order for r");
    }

    private void answerOrder(PromotionService.Answer answer) {
        answerOrder("r", answer);
    }

    private void answerOrder(String endpoint, PromotionService.Answer answer) {
        mGroup.failover().onPromotionAnswer(EndpointId.of(endpoint), answer);
    }

    static Stream<Arguments> fencings() {
        return Stream.of(Arguments.of(new CheckedFencing()), Arguments.of(new UncheckedFencing()));
    }

    /** The copy that is promoted need not have the commit, which only the old primary reported. */
    @ParameterizedTest
    @MethodSource("fencings")
    void acknowledgesNoCommitOfOldPrimaryAfterOrder(PromotionFencing fencing) {
        createGroup(fencing, 1);
        startWrite();
        orderReplica();
        assertEquals(Optional.of(Verdict.MAY_HAVE_RUN), answerWrite());
    }

    @ParameterizedTest
    @MethodSource("fencings")
    void acknowledgesNoCommitOfOldPrimaryAfterPromotion(PromotionFencing fencing) {
        createGroup(fencing, 1);
        startWrite();
        orderReplica();
        answerOrder(PromotionService.Answer.ACCEPTED);
        mContext.mStatuses.put("r", status(true, 2, 10));
        tick(6);
        assertEquals(Optional.of("r"), writablePrimary());
        assertEquals(Optional.of(Verdict.MAY_HAVE_RUN), answerWrite());
    }

    /** An order that had no effect leaves the old primary as it was. */
    @ParameterizedTest
    @MethodSource("fencings")
    void acknowledgesCommitAfterOrderThatWasNotSent(PromotionFencing fencing) {
        createGroup(fencing, 1);
        startWrite();
        orderReplica();
        answerOrder(PromotionService.Answer.LATER);
        mContext.mStatuses.put("p", status(true, 1, 10));
        tick(300);
        assertEquals(Optional.of("p"), writablePrimary());
        assertEquals(Optional.empty(), answerWrite());
    }

    /** The lost order may still promote the replica, which lacks what the primary commits now. */
    @ParameterizedTest
    @MethodSource("fencings")
    void servesNoWritesAtOldPrimaryWhileOrderMayBeCarriedOut(PromotionFencing fencing) {
        createGroup(fencing, 1);
        orderReplica();
        answerOrder(PromotionService.Answer.UNKNOWN);
        mContext.mStatuses.put("p", status(true, 1, 10));
        for (int i = 0; i < 300; i++) {
            tick(1);
            assertEquals(Optional.empty(), writablePrimary());
        }
    }

    /** A new epoch invalidates the order only where the platform checks fencing numbers. */
    @ParameterizedTest
    @MethodSource("fencings")
    void resolvesLostOrder(PromotionFencing fencing) {
        boolean checked = fencing.registersEpoch();
        createGroup(fencing, 1);
        orderReplica();
        answerOrder(PromotionService.Answer.UNKNOWN);
        mContext.mStatuses.put("p", status(true, 1, 10));
        tick(300);
        assertEquals(checked ? 1 : 0, mContext.mLeasesGivenBack);
        long orders = mContext.mPromotions.stream().filter("r 1"::equals).count();
        assertEquals(!checked, orders > 1, "orders the same replica again");
    }

    /** An answered repetition does not show that the lost order will not be carried out. */
    @ParameterizedTest
    @MethodSource("fencings")
    void keepsLostOrderInMindAfterRepetition(PromotionFencing fencing) {
        createGroup(fencing, 1);
        orderReplica();
        answerOrder(PromotionService.Answer.UNKNOWN);
        mContext.mStatuses.put("r", status(true, 2, 10));
        tick(6);
        assertEquals(Optional.of("r"), writablePrimary());
        mContext.mStatuses.put("s", status(false, 2, 10));
        mContext.mStatuses.remove("r");
        mGroup.checkHealth(mGroup.pool(EndpointId.of("r")).orElseThrow());
        mContext.mNowNanos += 1_000_000_000L;
        tick(20);
        assertTrue(mContext.mPromotions.stream().noneMatch(o -> o.startsWith("s")));
    }

    /** Guards against a group without a primary for good. */
    @Test
    void servesAgainAfterLostOrderExpired() {
        createGroup(new UncheckedFencing(), 1);
        orderReplica();
        answerOrder(PromotionService.Answer.UNKNOWN);
        mContext.mStatuses.put("p", status(true, 1, 10));
        mContext.mStatuses.remove("r");
        tick(1_000);
        assertEquals(Optional.of("p"), writablePrimary());
    }

    /** The confirmation may be carried out after another leaseholder promoted another copy. */
    @ParameterizedTest
    @MethodSource("fencings")
    void confirmsPrimaryOnlyWhereNumbersAreChecked(PromotionFencing fencing) {
        createGroup(fencing, 5);
        assertEquals(fencing.registersEpoch() ? List.of("p 5") : List.of(), mContext.mPromotions);
    }

    /** What a new leaseholder gets from the platform before its number is registered. */
    enum Registration {
        NO_ANSWER,
        LOST,
        NOT_SENT
    }

    /**
     * An order of an earlier leaseholder is carried out until the platform has answered one with a
     * higher number, and its target lacks what is committed meanwhile.
     */
    @ParameterizedTest
    @EnumSource(Registration.class)
    void servesNoWritesBeforeNumberIsRegistered(Registration registration) {
        mContext.mStatuses.put("p", status(true, 1, 10));
        mContext.mStatuses.put("r", status(false, 1, 10));
        mGroup = new LeasedGroup(GROUP, 2, settings(), mContext);
        for (int i = 0; i < 600; i++) {
            tick(1);
            assertEquals(Optional.empty(), writablePrimary());
            if (registration != Registration.NO_ANSWER && i % 100 == 0) {
                answerOrder(
                        "p",
                        registration == Registration.LOST
                                ? PromotionService.Answer.UNKNOWN
                                : PromotionService.Answer.LATER);
            }
        }
        assertTrue(mContext.mPromotions.size() > 30, "repeats the order");
        assertEquals(Set.of("p 2"), Set.copyOf(mContext.mPromotions));
        answerOrder("p", PromotionService.Answer.ACCEPTED);
        tick(EFFECT_TICKS);
        assertEquals(Optional.of("p"), writablePrimary());
    }

    /**
     * The order of an earlier leaseholder was accepted just before and takes effect after the
     * number is registered; the replica that it names lacks what is committed meanwhile.
     */
    @ParameterizedTest
    @ValueSource(longs = {100, 600, 1_000})
    void servesNoWritesWhileAcceptedOrderTakesEffect(long millis) {
        mContext.mStatuses.put("p", status(true, 1, 10));
        mContext.mStatuses.put("r", status(false, 1, 10));
        mGroup = new LeasedGroup(GROUP, 2, settings(), mContext);
        tick(3);
        answerOrder("p", PromotionService.Answer.ACCEPTED);
        for (long passed = 0; passed < millis; passed += 20) {
            assertEquals(Optional.empty(), writablePrimary());
            tick(1);
        }
        mContext.mStatuses.put("p", status(false, 2, 10));
        mContext.mStatuses.put("r", status(true, 2, 10));
        mGroup.pools().forEach(mGroup::checkHealth);
        tick(EFFECT_TICKS + 20);
        assertEquals(Optional.of("r"), writablePrimary());
    }

    /** Guards against writes that wait as long as the platform is down. */
    @Test
    void servesWritesOnceEarlierOrdersHaveExpired() {
        mContext.mStatuses.put("p", status(true, 1, 10));
        mContext.mStatuses.put("r", status(false, 1, 10));
        mGroup = new LeasedGroup(GROUP, 2, settings(), mContext);
        tick(13_100 / 20);
        assertEquals(Optional.of("p"), writablePrimary());
    }

    /**
     * The lost order may not have registered its number: an earlier one for the same endpoint may
     * have been carried out instead, and one between them may name another endpoint.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 7})
    void servesNoWritesAfterLostOrderUntilOneIsAnswered(long epoch) {
        mContext.mStatuses.put("r", status(false, 1, 10));
        mContext.mStatuses.put("s", status(false, 1, 9));
        mGroup = new LeasedGroup(GROUP, epoch, settings(), mContext);
        mContext.mNowNanos += 1_000_000_000L;
        tick(80);
        assertTrue(mContext.mPromotions.contains("r " + epoch), "order for r");
        answerOrder(PromotionService.Answer.UNKNOWN);
        mContext.mStatuses.put("r", status(true, 2, 10));
        tick(10);
        assertEquals(epoch == 1 ? Optional.of("r") : Optional.empty(), writablePrimary());
        answerOrder(PromotionService.Answer.ACCEPTED);
        tick(EFFECT_TICKS);
        assertEquals(Optional.of("r"), writablePrimary());
    }

    /** The reads of a group need not wait for the platform. */
    @Test
    void servesReadsBeforeNumberIsRegistered() {
        mContext.mStatuses.put("p", status(true, 1, 10));
        mContext.mStatuses.put("r", status(false, 1, 10));
        mContext.mStatuses.put("s", status(false, 1, 9));
        mGroup = new LeasedGroup(GROUP, 2, settings(), mContext);
        tick(3);
        start(StatementKind.READ);
        mContext.answer(
                SessionCommand.Run.class, FakeGroupContext.done(SessionResult.State.IDLE, 10));
        assertTrue(mContext.mReplies.get(CALL).failure().isEmpty());
    }

    /** A primary of an earlier term goes on until it is told to stop. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void demotesPrimaryOfEarlierTerm(boolean knownAtDiscovery) {
        mContext.mFencing = new UncheckedFencing();
        mContext.mStatuses.put("p", status(true, 1, 10));
        mContext.mStatuses.put("r", status(true, 2, 10));
        mContext.mStatuses.put("s", status(false, 2, 10));
        if (!knownAtDiscovery) {
            mContext.mStatuses.remove("p");
        }
        mGroup = new LeasedGroup(GROUP, 2, settings(), mContext);
        tick(80);
        assertEquals(Optional.of("r"), writablePrimary());
        mContext.mStatuses.put("p", status(true, 1, 10));
        tick(80);
        assertTrue(mContext.mDemotions.contains("p 2"), "demotions: " + mContext.mDemotions);
    }

    /** Another copy may be the primary of a later term, although it is silent. */
    @Test
    void acceptsNoPrimaryOfEarlierTermThanReplica() {
        mContext.mFencing = new UncheckedFencing();
        mContext.mStatuses.put("p", status(true, 1, 10));
        mContext.mStatuses.put("s", status(false, 2, 10));
        mGroup = new LeasedGroup(GROUP, 2, settings(), mContext);
        for (int i = 0; i < 200; i++) {
            tick(1);
            assertEquals(Optional.empty(), writablePrimary());
        }
    }
}
