package org.crocusturn.daemon.wire;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Arrays;
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
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.GroupAnswer;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.PreparedShape;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.ServedBy;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.core.callers.StatementAnswer;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionId;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.controlhosts.ConsensusMessage;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.EndpointNotice;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.FirstStartAnswer;
import org.crocusturn.core.controlhosts.FirstStartQuestion;
import org.crocusturn.core.controlhosts.ForwardedProposal;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.JoinRequest;
import org.crocusturn.core.controlhosts.LeaseGrant;
import org.crocusturn.core.controlhosts.LogContent;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.NotLeader;
import org.crocusturn.core.controlhosts.ProposalReply;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.controlhosts.TokenGrant;
import org.crocusturn.core.controlhosts.UsageReceipt;
import org.crocusturn.core.controlhosts.UsageReport;
import org.crocusturn.core.entryhosts.ForwardedReply;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ConfigurationDelta;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.CopyCoverage;
import org.crocusturn.core.operators.DataCentreState;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.PlacementKey;
import org.crocusturn.core.operators.PromotionMode;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Route;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.SessionLimits;
import org.crocusturn.core.operators.UsageLedger;
import org.crocusturn.core.operators.UsageWindow;
import org.crocusturn.core.operators.Workspace;

/**
 * Sample messages with every kind of content. No required field has its default value, so that a
 * lost field is detected.
 */
final class WireSamples {
    static final GroupId GROUP = GroupId.of("taftish-db", "a1");
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("schools");
    private static final HostId HOST = HostId.of("entry-1");
    private static final DataCentreId ABDALI = DataCentreId.of("abdali");
    private static final EndpointId ENDPOINT = EndpointId.of("db-1");
    private static final LogPosition POSITION = LogPosition.of(3, 41);
    private static final SessionMark MARK = new SessionMark(POSITION, LogPosition.of(3, 44));
    private static final TransactionId TRANSACTION =
            new TransactionId(GROUP, 7, "0123456789abcdef0123456789abcdef");
    private static final Leaseholder LEASEHOLDER = new Leaseholder(HOST, "127.0.0.1:7100", -5L, 12);
    private static final KeyRecord KEY = new KeyRecord("tablet-9", "ab".repeat(32), WORKSPACE);
    private static final Membership MEMBERSHIP =
            new Membership(
                    List.of(
                            new Member(HostId.of("c1"), "127.0.0.1:7001", true),
                            new Member(HostId.of("c2"), "127.0.0.1:7002", false)));

    private WireSamples() {}

    static Stream<PeerMessage> messages() {
        return Stream.of(
                        Stream.of(
                                report(),
                                new NotLeader(Optional.of(HOST), 4, MEMBERSHIP.members())),
                        Stream.of(new NotLeader()),
                        updates(),
                        consensus(),
                        Stream.of(new FirstStartQuestion(-3L, MEMBERSHIP)),
                        Arrays.stream(FirstStartAnswer.Finding.values())
                                .map(f -> new FirstStartAnswer(-3L, f)),
                        commands().map(c -> new ForwardedProposal(4, c)),
                        failures().map(f -> new ProposalReply(5, outcome(Optional.of(f)))),
                        Stream.of(new ProposalReply(6, outcome(Optional.empty()))),
                        Stream.of(
                                new JoinRequest(HOST, "10.0.0.4:7560"),
                                new EndpointNotice(endpoint(), true),
                                new SessionEnd(77, GROUP),
                                new UsageReport(HOST, -1, 18, List.of(usageWindow(353_445_120))),
                                new UsageReceipt(18, 1_767_225_600_123L)),
                        Arrays.stream(StatementKind.values()).map(WireSamples::sessionCall),
                        sessionOutcomes().map(o -> new SessionReply(78, o)),
                        operations().map(WireSamples::request),
                        failures().map(f -> new ForwardedReply(8, new Outcome.Failed(f))),
                        answers().map(a -> new ForwardedReply(9, new Outcome.Answered(a))))
                .flatMap(s -> s);
    }

    static Stream<LogEntry> entries() {
        return Stream.concat(
                        commands().map(c -> new LogContent.CommandContent(-9, c)),
                        Stream.of(
                                new LogContent.MembershipContent(MEMBERSHIP),
                                new LogContent.EmptyContent()))
                .map(content -> new LogEntry(POSITION, content));
    }

    static Snapshot snapshot() {
        return new Snapshot(POSITION, MEMBERSHIP, state());
    }

    static ForwardedRequest request(GroupOperation operation) {
        return new ForwardedRequest(
                new GroupRequest(11, WORKSPACE, GROUP, operation, MARK, true, 1_500), 12);
    }

    private static EntryReport report() {
        return new EntryReport(
                        HOST,
                        Long.MIN_VALUE,
                        ABDALI,
                        "127.0.0.1:7100",
                        17,
                        99,
                        List.of(new HeldLease(GROUP, 12, 3, true, 2, 41, 150)),
                        List.of(new TokenDemand(WORKSPACE, 40, 1_000)),
                        Set.of(ENDPOINT, EndpointId.of("db-2")),
                        true,
                        16,
                        4,
                        250)
                .withTimeOfDay(1_767_225_600_123L)
                .withUptime(4_321);
    }

    private static Stream<ControlUpdate> updates() {
        return Stream.of(
                        new StateUpdate.Unchanged(),
                        new StateUpdate.Changes(6, List.of()),
                        new StateUpdate.Changes(
                                7,
                                commands()
                                        .map(c -> new StateUpdate.VersionedCommand(8, c))
                                        .toList()),
                        new StateUpdate.Replacement(ControlState.EMPTY),
                        new StateUpdate.Replacement(state()))
                .map(
                        state ->
                                new ControlUpdate(
                                        5,
                                        17,
                                        100,
                                        state,
                                        1_500,
                                        List.of(new LeaseGrant(GROUP, 12, 1_000, 3, true)),
                                        List.of(new TokenGrant(WORKSPACE, 2, 30, 1_000)),
                                        MEMBERSHIP.members()));
    }

    private static Stream<PeerMessage> consensus() {
        return Stream.of(
                new ConsensusMessage.VoteRequest(4, HOST, POSITION, true, true),
                new ConsensusMessage.VoteReply(4, true, true),
                new ConsensusMessage.AppendRequest(
                        4, HOST, POSITION, entries().toList(), 40, 1_234),
                new ConsensusMessage.AppendReply(4, true, 41, 1_234, true),
                new ConsensusMessage.InstallSnapshot(4, HOST, snapshot(), 1_235),
                new ConsensusMessage.SnapshotReply(4, 41, 1_235),
                new ConsensusMessage.RecoveryRequest(4, HOST, -77L),
                new ConsensusMessage.RecoveryReply(5, 78L, LogPosition.of(5, 43)),
                new ConsensusMessage.TransferLeadership(4));
    }

    private static Stream<ControlCommand> commands() {
        return Stream.of(
                new ControlCommand.ApplyConfiguration("change-1", configuration()),
                new ControlCommand.ReplaceConfiguration("change-5", configuration()),
                new ControlCommand.PatchConfiguration("change-6", delta(), true),
                new ControlCommand.IssueKey("change-2", KEY),
                new ControlCommand.WithdrawKey("change-3", "tablet-9"),
                new ControlCommand.SetDataCentreDrained("change-4", ABDALI, true),
                new ControlCommand.SetDataCentreDrained("change-7", ABDALI, false, Optional.of(0L)),
                new ControlCommand.SetDataCentreDrained("change-8", ABDALI, true, Optional.of(39L)),
                new ControlCommand.ConfirmCoverage(GROUP, 12, 41),
                new ControlCommand.AssignUsageDuty(HOST, 5),
                new ControlCommand.CloseUsageWindow(5, usageWindow(353_445_122)),
                new ControlCommand.ConfirmUsageReport(353_445_122),
                new ControlCommand.RegisterEndpoint(endpoint()),
                new ControlCommand.RemoveEndpoint(ENDPOINT),
                new ControlCommand.AssignLease(GROUP, LEASEHOLDER),
                new ControlCommand.ReleaseLease(GROUP, 12),
                new ControlCommand.BeginFailover(GROUP, 4),
                new ControlCommand.CompletePromotion(GROUP, 4, ENDPOINT, 42));
    }

    private static ConfigurationDelta delta() {
        return new ConfigurationDelta(
                8,
                configuration().withoutDocument(),
                Set.of(WorkspaceId.of("left")),
                Set.of("closed-db"),
                Set.of("cd".repeat(32)),
                Set.of("db9", "db10"));
    }

    private static Configuration configuration() {
        return new Configuration(
                9,
                List.of(ABDALI, DataCentreId.of("marka")),
                List.of(
                        new Workspace(
                                WORKSPACE,
                                new RateLimit(12.5, 30),
                                Set.of("taftish-db"),
                                Map.of("taftish-db", "a1"))),
                Arrays.stream(AcknowledgeMode.values())
                        .map(
                                mode ->
                                        new Service(
                                                mode.name(),
                                                List.of("a1"),
                                                3,
                                                2,
                                                16,
                                                mode,
                                                true,
                                                PromotionMode.LEASEHOLDER))
                        .toList(),
                List.of("/certificates"),
                Map.of(
                        ABDALI,
                        DataCentreState.DRAINED,
                        DataCentreId.of("marka"),
                        DataCentreState.IN_SERVICE),
                List.of(KEY),
                Arrays.stream(Consistency.values()).map(WireSamples::route).toList(),
                new SessionLimits(Duration.ofSeconds(3)),
                "{\"version\": 9, \"routes\": []}");
    }

    private static Route route(Consistency consistency) {
        return new Route(
                "r-" + consistency,
                "db" + consistency.ordinal(),
                "taftish-db",
                consistency,
                Duration.ofMillis(1_500),
                Duration.ofMillis(800),
                Duration.ofMillis(120),
                2,
                true);
    }

    private static SessionCall sessionCall(StatementKind kind) {
        return new SessionCall(
                11,
                77,
                GROUP,
                12,
                WORKSPACE,
                new SessionCall.Options(Consistency.OWN_WRITES, 2_500, 2, 790),
                TransactionStep.values()[kind.ordinal() % TransactionStep.values().length],
                new SessionStatement("5c0e", kind, "s1", "1a4 xk", "EXEC s1 1a4 xk"),
                Optional.of(new PreparedShape(true, "q2c")),
                Map.of("zone", "a b"),
                POSITION);
    }

    private static Stream<SessionOutcome> sessionOutcomes() {
        return Stream.concat(
                Stream.of(
                        SessionOutcome.answered(List.of("a", ""), "7.1f3"),
                        SessionOutcome.committed(List.of(), "7.1f3", POSITION)),
                failures().map(f -> SessionOutcome.failed(f, true)));
    }

    private static EndpointRecord endpoint() {
        return new EndpointRecord(
                ENDPOINT,
                "taftish-db",
                ABDALI,
                "127.0.0.1:7200",
                "127.0.0.1:7201",
                List.of(new DatabaseRecord("a1", 2, 16)),
                true,
                1_700_000_000_123L);
    }

    private static ControlState state() {
        return new ControlState(
                41,
                configuration(),
                Map.of(KEY.hash(), KEY),
                Set.of(ABDALI),
                Map.of(ENDPOINT, endpoint()),
                Map.of(
                        GROUP,
                        new GroupRecord(
                                GROUP,
                                3,
                                Optional.of(ENDPOINT),
                                40,
                                Optional.of(LEASEHOLDER),
                                12,
                                new CopyCoverage(38, 39)),
                        GroupId.of("taftish-db", "a2"),
                        GroupRecord.of(GroupId.of("taftish-db", "a2"))),
                Map.of(new PlacementKey(WORKSPACE, "taftish-db"), "a1"),
                Map.of("change-1", outcome(Optional.empty())),
                "change-1",
                Map.of("tablet-3", 17L),
                Map.of(ABDALI, 39L),
                new UsageLedger(
                        Optional.of(HostId.of("core-1")),
                        4,
                        Optional.of(353_445_121L),
                        List.of(usageWindow(353_445_121)),
                        List.of(usageWindow(353_445_120))));
    }

    private static UsageWindow usageWindow(long number) {
        return UsageWindow.of(number, Map.of(WORKSPACE, 412L, WorkspaceId.of("other"), 1L));
    }

    private static ChangeOutcome outcome(Optional<Failure> refusal) {
        return new ChangeOutcome("change-1", 40, refusal);
    }

    private static Stream<Failure> failures() {
        return Arrays.stream(ErrorCode.values())
                .flatMap(
                        code ->
                                Arrays.stream(Verdict.values())
                                        .map(v -> new Failure(code, v, "text", Optional.empty())))
                .flatMap(f -> Stream.of(f, f.withRetryAfter(Duration.ofNanos(1_500_000_001))));
    }

    private static Stream<GroupOperation> operations() {
        Statement read =
                Statement.read("SELECT ?", values().toArray(SqlValue[]::new))
                        .withMaxAge(Duration.ofSeconds(5));
        Statement write = Statement.write("DELETE FROM visit").withRequestId("visit-77");
        return Stream.of(
                new GroupOperation.Execute(read),
                new GroupOperation.Execute(write),
                new GroupOperation.Begin(),
                new GroupOperation.ExecuteInTransaction(TRANSACTION, Statement.write("X")),
                new GroupOperation.Commit(TRANSACTION),
                new GroupOperation.Rollback(TRANSACTION));
    }

    private static Stream<GroupAnswer> answers() {
        return Arrays.stream(Role.values())
                .map(
                        role ->
                                new StatementAnswer(
                                        List.of("a", "b"),
                                        List.of(values().toList(), List.of()),
                                        3,
                                        new ServedBy(ENDPOINT, role, 3)))
                .flatMap(
                        s ->
                                Stream.of(
                                        new GroupAnswer(Optional.of(s), Optional.empty(), MARK),
                                        new GroupAnswer(
                                                Optional.empty(), Optional.of(TRANSACTION), MARK)));
    }

    private static Stream<SqlValue> values() {
        return Stream.of(
                SqlValue.NullValue.INSTANCE,
                new SqlValue.BooleanValue(true),
                new SqlValue.BooleanValue(false),
                new SqlValue.IntegerValue(Long.MIN_VALUE),
                new SqlValue.IntegerValue(0),
                new SqlValue.DecimalValue(new BigDecimal("-12.3400")),
                new SqlValue.DecimalValue(new BigDecimal("0E+9")),
                new SqlValue.TextValue(""),
                new SqlValue.TextValue("\u0645\u0633\u062c\u062f \ud83d\udd25"));
    }
}
