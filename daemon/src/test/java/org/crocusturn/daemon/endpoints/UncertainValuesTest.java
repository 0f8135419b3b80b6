package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.Service;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a statement of an open transaction that runs with the old session values (PINNED):
 * the answer to BEGIN is repeated while SET is outstanding, and SET fails.
 */
class UncertainValuesTest {
    private static final GroupId GROUP = GroupId.of("service", Service.SINGLE_DATABASE);

    private final FakeGroupContext mContext = new FakeGroupContext();
    private LeasedGroup mGroup;

    @ParameterizedTest
    @EnumSource(names = {"READ", "WRITE"})
    void sendsNoStatementBeforeItsValuesAreSet(StatementKind kind) {
        createGroup();
        submit(1, TransactionStep.BEGIN, kind, Map.of());
        mContext.openAll();
        mContext.answer(SessionCommand.Begin.class, begun());
        mContext.answer(
                SessionCommand.Run.class,
                FakeGroupContext.done(SessionResult.State.TRANSACTION, 10));
        assertEquals(Optional.empty(), mContext.mReplies.get(1L).failure());
        submit(2, TransactionStep.CONTINUE, kind, Map.of("a", "1"));
        mContext.answer(SessionCommand.SetValue.class, begun().asUncertain());
        assertEquals(
                List.of(),
                mContext.mSent.stream()
                        .filter(sent -> sent.command() instanceof SessionCommand.Run)
                        .toList());
    }

    private static SessionResult begun() {
        return new SessionResult(
                List.of(),
                "",
                Optional.empty(),
                "",
                SessionResult.State.TRANSACTION,
                Optional.of(LogPosition.of(1, 10)),
                Optional.empty());
    }

    private void createGroup() {
        mContext.mStatuses.put("p", new ReplicationStatus(true, 1, LogPosition.of(1, 10), 0));
        mGroup =
                new LeasedGroup(
                        GROUP,
                        1,
                        new GroupSettings(
                                Stream.of("p").map(UncertainValuesTest::endpoint).toList(),
                                Set.of(),
                                16,
                                Duration.ofSeconds(3),
                                DataCentreId.of("dc"),
                                List.of(),
                                false,
                                new GroupSettings.Copies(1, 1, true)),
                        mContext);
        for (int i = 0; i < 3; i++) {
            mContext.mNowNanos += Duration.ofMillis(20).toNanos();
            mGroup.tick(mContext.mNowNanos);
            mContext.answerStatusCommands();
        }
    }

    private static EndpointRecord endpoint(String id) {
        return new EndpointRecord(
                EndpointId.of(id),
                "service",
                DataCentreId.of("dc"),
                "127.0.0.1:1",
                "",
                List.of(new DatabaseRecord(Service.SINGLE_DATABASE, 2, 16)),
                false,
                1);
    }

    private void submit(
            long call, TransactionStep step, StatementKind kind, Map<String, String> values) {
        mGroup.submit(
                HostId.of("entry-2.1"),
                new SessionCall(
                        call,
                        7,
                        GROUP,
                        1,
                        WorkspaceId.of("schools"),
                        new SessionCall.Options(Consistency.PRIMARY, 1_500, 1, 30_000),
                        step,
                        new SessionStatement("id" + call, kind, "x", "", kind + " x"),
                        Optional.empty(),
                        values,
                        LogPosition.ZERO));
    }
}
