package org.crocusturn.standin.bench;

import java.util.List;
import java.util.Optional;
import org.crocusturn.core.Decision;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.SessionToken;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.GrantedTokens;
import org.crocusturn.core.controlhosts.LeaseGrant;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.endpoints.GroupAction;
import org.crocusturn.core.endpoints.GroupCoordinator;
import org.crocusturn.core.endpoints.GroupInput;
import org.crocusturn.core.endpoints.GroupState;
import org.crocusturn.core.endpoints.GroupView;
import org.crocusturn.core.entryhosts.CallerRequest;
import org.crocusturn.core.entryhosts.Ingress;
import org.crocusturn.core.entryhosts.IngressAction;
import org.crocusturn.core.entryhosts.IngressInput;
import org.crocusturn.core.entryhosts.IngressState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the decisions for one read, from its arrival at an entry host to its answer. */
@State(Scope.Benchmark)
public class EntryPathBenchmark {
    private static final String SECRET = "0".repeat(32);
    private static final long LEASE_MILLIS = 1_000_000_000;
    private static final DatabaseResult DONE =
            new DatabaseResult.Done(
                    List.of("id"),
                    List.of(List.of(new SqlValue.IntegerValue(1))),
                    0,
                    LogPosition.of(3, 50),
                    false);

    /** Number of groups; the requests go to the last one. */
    @Param({"16", "160", "1600", "16000"})
    public int mGroups;

    private final Ingress mIngress = Ingress.standard();
    private final GroupCoordinator mCoordinator = GroupCoordinator.standard();
    private IngressState mIngressState;
    private GroupState mGroupState;
    private CallerRequest mTemplate;
    private long mNowNanos = 1_000_000;
    private long mLastRequestId;

    /**
     * Prepares the leaseholder of the last group until it serves requests on an open connection.
     */
    @Setup
    public void prepare() {
        int last = mGroups - 1;
        ControlView view = view(last);
        mIngressState = IngressState.of(SyntheticStates.host(0), view);
        mIngressState =
                mIngress.step(
                                mIngressState,
                                new IngressInput.PhaseChanged(
                                        org.crocusturn.core.platform.Phase.SERVING),
                                mNowNanos)
                        .state();
        mGroupState = GroupState.of(SyntheticStates.group(last));
        step(new GroupInput.ViewChanged(GroupView.of(view, SyntheticStates.group(last))));
        step(
                new GroupInput.Observed(
                        new EndpointObservation.StatusReceived(
                                SyntheticStates.endpoint(last / 4, 0),
                                List.of(
                                        new CopyStatus(
                                                SyntheticStates.group(last).database(),
                                                Role.PRIMARY,
                                                3,
                                                LogPosition.of(3, 50),
                                                0)))));
        step(
                new GroupInput.TokensGranted(
                        new GrantedTokens(
                                SyntheticStates.workspace(last),
                                Long.MAX_VALUE / 4,
                                Long.MAX_VALUE / 4)));
        mTemplate =
                new CallerRequest(
                        0,
                        SyntheticStates.keyHash(last),
                        Optional.of(SessionToken.of(SyntheticStates.workspace(last))),
                        SyntheticStates.group(last).service(),
                        new GroupOperation.Execute(Statement.read("SELECT id FROM visit")),
                        0);
        openConnection();
    }

    private ControlView view(int last) {
        ControlUpdate update =
                new ControlUpdate(
                        1,
                        1,
                        1_000,
                        new StateUpdate.Replacement(SyntheticStates.state(mGroups, 1)),
                        LEASE_MILLIS,
                        List.of(
                                new LeaseGrant(
                                        SyntheticStates.group(last), 12, LEASE_MILLIS, 3, false)),
                        List.of());
        return ControlView.empty((s, c) -> s).withReportSent(1, 0).withUpdate(update, 1);
    }

    private void openConnection() {
        GroupAction.OpenConnection open =
                step(receiveRequest()).stream()
                        .filter(GroupAction.OpenConnection.class::isInstance)
                        .map(GroupAction.OpenConnection.class::cast)
                        .findFirst()
                        .orElseThrow();
        List<GroupAction> actions = step(new GroupInput.ConnectionOpened(open.connection()));
        completeCommand(actions);
    }

    private List<GroupAction> step(GroupInput input) {
        Decision<GroupState, GroupAction> decision =
                mCoordinator.step(mGroupState, input, mNowNanos);
        mGroupState = decision.state();
        return decision.actions();
    }

    private GroupInput receiveRequest() {
        CallerRequest request =
                new CallerRequest(
                        ++mLastRequestId,
                        mTemplate.keyHash(),
                        mTemplate.token(),
                        mTemplate.service(),
                        mTemplate.operation(),
                        mNowNanos + 5_000_000_000L);
        Decision<IngressState, IngressAction> decision =
                mIngress.step(mIngressState, new IngressInput.RequestReceived(request), mNowNanos);
        mIngressState = decision.state();
        for (IngressAction action : decision.actions()) {
            if (action instanceof IngressAction.HandleLocally local) {
                return new GroupInput.RequestArrived(
                        SyntheticStates.host(0), local.epoch(), local.request(), SECRET);
            }
        }
        throw new IllegalStateException("the request was not accepted: " + decision.actions());
    }

    private List<IngressAction> completeCommand(List<GroupAction> actions) {
        for (GroupAction action : actions) {
            if (action instanceof GroupAction.SendCommand send) {
                return deliverReply(
                        step(
                                new GroupInput.ResultReceived(
                                        send.connection(), send.command(), DONE)));
            }
        }
        throw new IllegalStateException("no command was sent: " + actions);
    }

    private List<IngressAction> deliverReply(List<GroupAction> actions) {
        for (GroupAction action : actions) {
            if (action instanceof GroupAction.Reply reply) {
                Decision<IngressState, IngressAction> decision =
                        mIngress.step(
                                mIngressState,
                                new IngressInput.ReplyReceived(reply.request(), reply.outcome()),
                                mNowNanos);
                mIngressState = decision.state();
                return decision.actions();
            }
        }
        throw new IllegalStateException("no reply was given: " + actions);
    }

    /** Authenticates, routes and admits one request. */
    @Benchmark
    public Decision<IngressState, IngressAction> routeAndAdmit() {
        return mIngress.step(
                mIngressState,
                new IngressInput.RequestReceived(
                        new CallerRequest(
                                1L << 40,
                                mTemplate.keyHash(),
                                mTemplate.token(),
                                mTemplate.service(),
                                mTemplate.operation(),
                                mNowNanos + 5_000_000_000L)),
                mNowNanos);
    }

    /** Processes one read from its arrival to its answer. */
    @Benchmark
    public List<IngressAction> wholeRequest() {
        mNowNanos += 1_000;
        return completeCommand(step(receiveRequest()));
    }
}
