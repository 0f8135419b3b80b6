package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.Decision;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.GroupAnswer;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.SessionToken;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.core.callers.TransactionId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.PlacementKey;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.Workspace;
import org.crocusturn.core.platform.Phase;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests for a wrong workspace, false verdicts and repeated execution. */
class IngressTest {
    private static final long MILLI = 1_000_000;
    private static final HostId LOCAL_HOST = HostId.of("here");
    private static final HostId REMOTE_HOST = HostId.of("there");
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");
    private static final GroupId GROUP = GroupId.of("svc", "a");
    private static final String KEY = "a".repeat(64);
    private static final Ingress INGRESS = Ingress.standard();

    /** Returns a view that is fresh until 1,500 ms, with the given holder of the group's lease. */
    private static ControlView view(long version, Optional<HostId> holder, boolean keyInForce) {
        Service service = service("svc");
        Workspace workspace =
                new Workspace(WORKSPACE, new RateLimit(10, 10), Set.of("svc"), Map.of());
        GroupRecord group = GroupRecord.of(GROUP);
        ControlState state =
                new ControlState(
                        version,
                        new Configuration(
                                1,
                                List.of(),
                                List.of(workspace),
                                List.of(service, service("other")),
                                List.of()),
                        keyInForce ? Map.of(KEY, new KeyRecord("k", KEY, WORKSPACE)) : Map.of(),
                        Set.of(),
                        Map.of(),
                        Map.of(
                                GROUP,
                                holder.map(h -> new Leaseholder(h, "127.0.0.1:1", 1, 4))
                                        .map(group::withLeaseholder)
                                        .orElse(group)),
                        Map.of(new PlacementKey(WORKSPACE, "svc"), "a"),
                        Map.of());
        return ControlView.empty((s, c) -> s)
                .withReportSent(1, 0)
                .withUpdate(
                        new ControlUpdate(
                                1,
                                1,
                                version,
                                new StateUpdate.Replacement(state),
                                1_500,
                                List.of(),
                                List.of()),
                        1);
    }

    private static Service service(String name) {
        return new Service(name, List.of("a"), 3, 2, 16, AcknowledgeMode.DURABLE, false);
    }

    private static Decision<IngressState, IngressAction> request(
            IngressState state, String key, String service, GroupOperation operation, long at) {
        SessionToken token = SessionToken.of(WORKSPACE);
        CallerRequest request =
                new CallerRequest(
                        7, key, Optional.of(token), service, operation, (at + 1_000) * MILLI);
        return INGRESS.step(state, new IngressInput.RequestReceived(request), at * MILLI);
    }

    private static GroupOperation operation(String name) {
        TransactionId open = new TransactionId(GROUP, 4, "s");
        return switch (name) {
            case "read" -> new GroupOperation.Execute(Statement.read("r"));
            case "write" -> new GroupOperation.Execute(Statement.write("w"));
            case "once" -> new GroupOperation.Execute(Statement.write("w").withRequestId("id"));
            case "commit" -> new GroupOperation.Commit(open);
            case "commit in another group" ->
                    new GroupOperation.Commit(new TransactionId(GroupId.of("svc", "b"), 4, "s"));
            case "commit of an old epoch" ->
                    new GroupOperation.Commit(new TransactionId(GROUP, 3, "s"));
            default -> throw new IllegalArgumentException(name);
        };
    }

    /** Guards against requests that are forwarded although they must be rejected. */
    @ParameterizedTest
    @CsvSource({
        "read, svc, true, SERVING, 0, ",
        "read, svc, false, SERVING, 0, KEY_REFUSED",
        "read, other, true, SERVING, 0, FORBIDDEN",
        "read, none, true, SERVING, 0, NOT_FOUND",
        "read, svc, true, SERVING, 1500, UNAVAILABLE",
        "read, svc, true, DRAINING, 0, UNAVAILABLE",
        "read, svc, true, LEAVING, 0, ",
        "commit, svc, true, SERVING, 0, ",
        "commit in another group, svc, true, SERVING, 0, FORBIDDEN",
        "commit of an old epoch, svc, true, SERVING, 0, TRANSACTION_LOST"
    })
    void checksEachRequest(
            String name, String service, boolean key, Phase phase, long at, ErrorCode refusal) {
        IngressState state = IngressState.of(LOCAL_HOST, view(1, Optional.of(REMOTE_HOST), key));
        state = INGRESS.step(state, new IngressInput.PhaseChanged(phase), 0).state();
        Decision<IngressState, IngressAction> taken =
                request(state, KEY, service, operation(name), at);
        if (refusal == null) {
            assertEquals(REMOTE_HOST, ((IngressAction.Forward) taken.actions().get(0)).host());
        } else {
            assertEquals(refusal, failure(taken).code());
            assertEquals(Verdict.NOT_RUN, failure(taken).verdict());
            assertEquals(0, taken.state().openCount());
        }
    }

    /**
     * Guards against a retry of a request that may have run and is not idempotent, and against a
     * final answer where a retry is safe.
     */
    @ParameterizedTest
    @CsvSource({
        // operation, end of the first attempt, key valid, verdict; empty if it is retried
        "read, lost link, true, ",
        "once, lost link, true, ",
        "write, lost link, true, MAY_HAVE_RUN",
        "commit, lost link, true, MAY_HAVE_RUN",
        "write, moved, true, ",
        "write, moved, false, NOT_RUN",
        "once, lost link, false, MAY_HAVE_RUN",
        "write, refused, true, NOT_RUN",
        "write, silence, true, MAY_HAVE_RUN"
    })
    void retriesOnlyWhatIsSafe(String name, String end, boolean key, Verdict verdict) {
        IngressState state = IngressState.of(LOCAL_HOST, view(1, Optional.of(REMOTE_HOST), true));
        state = request(state, KEY, "svc", operation(name), 0).state();
        IngressInput input =
                switch (end) {
                    case "lost link" -> new IngressInput.LinkLost(REMOTE_HOST);
                    case "moved" -> failed(ErrorCode.MOVED);
                    case "refused" -> failed(ErrorCode.DATABASE_REFUSED);
                    default -> new IngressInput.Tick();
                };
        Decision<IngressState, IngressAction> ended =
                INGRESS.step(state, input, (end.equals("silence") ? 1_250 : 10) * MILLI);
        Decision<IngressState, IngressAction> next =
                ended.then(
                        INGRESS.step(
                                ended.state(),
                                new IngressInput.ViewChanged(view(2, Optional.of(LOCAL_HOST), key)),
                                20 * MILLI));
        if (verdict == null) {
            IngressAction last = next.actions().get(next.actions().size() - 1);
            assertEquals(2, ((IngressAction.HandleLocally) last).request().id());
        } else {
            assertEquals(verdict, failure(next).verdict());
            assertEquals(0, next.state().openCount());
        }
    }

    private static IngressInput failed(ErrorCode code) {
        return new IngressInput.ReplyReceived(1, new Outcome.Failed(Failure.notRun(code, "no")));
    }

    /** Guards against requests that wait forever or fail early while a group has no holder. */
    @ParameterizedTest
    @CsvSource({"999, 0", "1000, 1"})
    void waitsForAHostUntilTheDeadline(long atMillis, int answers) {
        IngressState state = IngressState.of(LOCAL_HOST, view(1, Optional.empty(), true));
        state = request(state, KEY, "svc", operation("write"), 0).state();
        Decision<IngressState, IngressAction> ticked =
                INGRESS.step(state, new IngressInput.Tick(), atMillis * MILLI);
        assertEquals(answers, ticked.actions().size());
        assertEquals(1 - answers, ticked.state().openCount());
    }

    /** Guards against answers that lack the session mark or are sent twice. */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 0"})
    void answersOnce(long attempt, int answers) {
        IngressState state = IngressState.of(LOCAL_HOST, view(1, Optional.of(LOCAL_HOST), true));
        state = request(state, KEY, "svc", operation("write"), 0).state();
        SessionMark mark = SessionMark.NONE.withWrite(LogPosition.of(3, 9));
        IngressInput reply =
                new IngressInput.ReplyReceived(
                        attempt,
                        new Outcome.Answered(
                                new GroupAnswer(Optional.empty(), Optional.empty(), mark)));
        Decision<IngressState, IngressAction> first = INGRESS.step(state, reply, MILLI);
        Decision<IngressState, IngressAction> both =
                first.then(INGRESS.step(first.state(), reply, MILLI));
        assertEquals(answers, both.actions().size());
        both.actions()
                .forEach(
                        a ->
                                assertEquals(
                                        mark,
                                        ((IngressAction.Answer) a).token().get().mark(GROUP)));
    }

    private static Failure failure(Decision<IngressState, IngressAction> decision) {
        return decision.actions().stream()
                .filter(IngressAction.Answer.class::isInstance)
                .map(a -> ((Outcome.Failed) ((IngressAction.Answer) a).outcome()).failure())
                .reduce((a, b) -> b)
                .orElseThrow();
    }
}
