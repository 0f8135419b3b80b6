package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.Service;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a leaseholder that takes the copies that it knows for all copies of a group, and
 * promotes one that lacks acknowledged commits while the others are cut off.
 *
 * <p>The group has the primary {@code p} and the replicas {@code r}, which has all commits, and
 * {@code s}, which is behind.
 */
class UnknownCopiesTest {
    private static final GroupId GROUP = GroupId.of("service", Service.SINGLE_DATABASE);
    private static final int COPIES = 3;
    private static final long BEHIND = 9;
    private static final long ACKNOWLEDGED = 11;
    private static final long TICK_NANOS = 20_000_000;
    private static final int TICKS_PER_MINUTE = 3_000;

    private final FakeGroupContext mContext = new FakeGroupContext();
    private final List<String> mAnnounced = new ArrayList<>();
    private boolean mCoverageConfirmed;
    private LeasedGroup mGroup;

    private GroupSettings settings() {
        return new GroupSettings(
                mAnnounced.stream()
                        .map(
                                id ->
                                        new EndpointRecord(
                                                EndpointId.of(id),
                                                "service",
                                                DataCentreId.of("dc"),
                                                id + ":1",
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
                new GroupSettings.Copies(7, COPIES, mCoverageConfirmed));
    }

    private void report(String id, boolean primary, long index) {
        mContext.mStatuses.put(id, new ReplicationStatus(primary, 1, LogPosition.of(1, index), 0));
    }

    private void announce(String... ids) {
        mAnnounced.addAll(List.of(ids));
        if (mGroup != null) {
            mGroup.update(settings());
        }
    }

    private void hold(long epoch) {
        mGroup = new LeasedGroup(GROUP, epoch, settings(), mContext);
    }

    private void tick(int count) {
        for (int i = 0; i < count; i++) {
            mContext.mNowNanos += TICK_NANOS;
            mGroup.tick(mContext.mNowNanos);
            mContext.answerStatusCommands();
        }
    }

    private List<String> promoted() {
        return mContext.mPromotions.stream().distinct().toList();
    }

    private Optional<String> primary() {
        return mGroup.pools().stream()
                .filter(mGroup.failover()::isPrimary)
                .map(p -> p.record().id().value())
                .findFirst();
    }

    static Stream<Arguments> knowledge() {
        return Stream.of(
                Arguments.of("the first copy of a first start", 1L, "s", false, ""),
                Arguments.of("the first copy after a restart of all", 9L, "s", false, ""),
                Arguments.of("two of three copies", 9L, "r s", false, ""),
                Arguments.of("the primary is silent, nothing confirmed", 9L, "p r s", false, ""),
                Arguments.of("the primary is silent, two logs confirmed", 9L, "p r s", true, "r"),
                Arguments.of("the lost copy was replaced and confirmed", 9L, "p r", true, "r"),
                Arguments.of("two silent copies", 9L, "p q s", true, ""),
                Arguments.of("all copies of the service answer", 9L, "r s t", false, "r"));
    }

    /** A leaseholder that finds no primary; the copies p and q are silent for a minute. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("knowledge")
    void promotesOnlyWhatIsKnownToBeComplete(
            String description,
            long epoch,
            String announced,
            boolean coverageConfirmed,
            String expected) {
        mCoverageConfirmed = coverageConfirmed;
        report("r", false, ACKNOWLEDGED);
        report("s", false, BEHIND);
        report("t", false, BEHIND);
        announce(announced.split(" "));
        hold(epoch);
        tick(TICKS_PER_MINUTE);
        assertEquals(
                expected.isEmpty() ? List.of() : List.of(expected + " " + epoch),
                promoted(),
                description);
    }

    /** Guards against replicas that are paused beside a primary which is only not known yet. */
    @ParameterizedTest
    @CsvSource({"1, s", "9, s", "9, r s"})
    void leavesReplicasAloneUntilThePrimaryIsKnown(long epoch, String announced) {
        report("p", true, ACKNOWLEDGED);
        report("r", false, ACKNOWLEDGED);
        report("s", false, BEHIND);
        announce(announced.split(" "));
        hold(epoch);
        for (int i = 0; i < TICKS_PER_MINUTE; i++) {
            tick(1);
            assertFalse(
                    mContext.mSent.stream()
                            .anyMatch(s -> s.command() instanceof SessionCommand.PauseReplication));
        }
        announce("p");
        tick(10);
        assertEquals(Optional.of("p"), primary());
    }

    /** The leaseholder acknowledged a commit that only a copy which it does not know received. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void waitsForTheCopyThatReceivedWhatItAcknowledged(boolean coverageConfirmed) {
        mCoverageConfirmed = coverageConfirmed;
        report("p", true, BEHIND);
        report("s", false, BEHIND);
        announce("p", "s");
        hold(1);
        tick(30);
        mContext.acknowledgeCommit(mGroup, ACKNOWLEDGED);
        mContext.mStatuses.remove("p");
        mGroup.pool(EndpointId.of("p")).ifPresent(mGroup::checkHealth);
        tick(TICKS_PER_MINUTE);
        assertEquals(List.of(), promoted());
        report("r", false, ACKNOWLEDGED);
        announce("r");
        tick(300);
        assertEquals(List.of("r 1"), promoted());
    }

    static Stream<Arguments> coverages() {
        return Stream.of(
                Arguments.of("a replica has all commits", "p r s", ACKNOWLEDGED, 7L),
                Arguments.of("no replica has all commits", "p r s", BEHIND, 0L),
                Arguments.of("a copy is not announced", "p r", ACKNOWLEDGED, 0L),
                Arguments.of("the primary is not announced", "r s", ACKNOWLEDGED, 0L));
    }

    /** Guards against a coverage that is confirmed for copies that the leaseholder cannot know. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("coverages")
    void confirmsCoverageOnceTwoLogsAreComplete(
            String description, String announced, long replicaIndex, long expected) {
        report("p", true, ACKNOWLEDGED);
        report("r", false, replicaIndex);
        report("s", false, BEHIND);
        announce(announced.split(" "));
        hold(1);
        tick(60);
        assertEquals(expected, mGroup.failover().coveredVersion(), description);
    }
}
