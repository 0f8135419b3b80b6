package org.crocusturn.daemon.controlhosts;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.ConsensusMessage;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.ForwardedProposal;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.MembershipChange;
import org.crocusturn.core.controlhosts.ProposalReply;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.daemon.endpoints.EndpointCommander;
import org.crocusturn.daemon.endpoints.StatusMonitor;
import org.crocusturn.daemon.entryhosts.LeaderDuty;
import org.crocusturn.daemon.entryhosts.LeaderEvent;
import org.crocusturn.daemon.entryhosts.LeaderPorts;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.net.SharedSecret;
import org.crocusturn.daemon.operators.ControlAccess;
import org.crocusturn.daemon.operators.ControlStatus;
import org.crocusturn.daemon.platform.Metrics;
import org.crocusturn.daemon.settings.ControlSettings;

/**
 * Is this host's part in the consensus group, with the duties that follow from it.
 *
 * <p>Safe for any thread.
 */
public final class ControlMember implements ControlAccess, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlMember.class);
    private static final int LEADER_RING = 65_536;
    private static final int PROPOSAL_RING = 1_024;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);
    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);

    private final HostId mSelf;
    private final Membership mNamed;
    private final Consumer<RuntimeException> mOnFailure;
    private final StateHolder mHolder = new StateHolder();
    private final Map<Long, CompletableFuture<ChangeOutcome>> mForwards = new ConcurrentHashMap<>();
    private final ControlLinks mLinks;
    private final StatusMonitor mMonitor;
    private final EndpointCommander mCommander;
    private final Duty<LeaderEvent> mLeaderDuty;
    private final Duty<ProposalEvent> mProposalDuty;
    private final ControlNode mNode;

    private ControlMember(
            ControlSettings settings,
            Optional<Membership> first,
            NetThreads threads,
            Metrics metrics,
            Consumer<RuntimeException> onFailure) {
        mSelf = settings.host();
        mNamed =
                new Membership(
                        settings.members().stream()
                                .map(m -> new Member(m.host(), Addresses.format(m.address()), true))
                                .toList());
        mOnFailure = onFailure;
        mCommander = EndpointCommander.create(threads, ORDER_TIMEOUT);
        mMonitor =
                StatusMonitor.start(threads, seen -> offerToLeader(new LeaderEvent.Observed(seen)));
        mLeaderDuty =
                Duty.start(
                        mSelf + "-leader",
                        LEADER_RING,
                        LeaderDuty.create(new Ports(), metrics),
                        e -> LOG.error("entryhosts: the leader duty failed", e));
        mProposalDuty =
                Duty.start(
                        mSelf + "-proposals",
                        PROPOSAL_RING,
                        ProposalDuty.create(new Proposals()),
                        e -> LOG.error("controlhosts: the proposal duty failed", e));
        mLinks =
                ControlLinks.start(
                        threads,
                        settings.link(),
                        mSelf,
                        SharedSecret.of(settings.linkSecret().bytes()),
                        new FromLinks());
        mNode =
                ControlNode.start(
                        settings.dataFolder(),
                        mSelf,
                        first,
                        ProtobufLogCodec.create(),
                        this::sendConsensus,
                        new FromConsensus());
    }

    /**
     * Starts the member.
     *
     * @param settings settings of the host
     * @param first members of a deployment that starts for the first time, else empty
     * @param threads I/O threads
     * @param metrics metrics of the process
     * @param onFailure told if the member cannot go on
     */
    public static ControlMember start(
            ControlSettings settings,
            Optional<Membership> first,
            NetThreads threads,
            Metrics metrics,
            Consumer<RuntimeException> onFailure) {
        return new ControlMember(
                settings,
                Objects.requireNonNull(first, "first"),
                Objects.requireNonNull(threads, "threads"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(onFailure, "onFailure"));
    }

    /** Returns whether this host leads and may answer for the system. */
    public boolean leads() {
        return mNode != null && mNode.leaderLeaseValid();
    }

    /** Returns the replicated state that this host has applied. */
    public ControlState state() {
        return mHolder.state();
    }

    /** Takes the announcement of an endpoint. */
    public void announced(EndpointRecord endpoint) {
        offerToLeader(new LeaderEvent.Announced(endpoint));
    }

    /** Hands leadership over because this host stops. */
    public void handOver() {
        mNode.transferLeadership();
    }

    @Override
    public CompletableFuture<ChangeOutcome> propose(OperatorCommand command) {
        CompletableFuture<ChangeOutcome> answer = new CompletableFuture<>();
        if (!mProposalDuty.offer(new ProposalEvent.Asked(command, answer))) {
            answer.complete(
                    refusal(
                            command.changeId(),
                            Failure.notRun(ErrorCode.OVERLOADED, "too many changes wait")));
        }
        return answer;
    }

    @Override
    public CompletableFuture<ChangeOutcome> addMember(HostId host, String linkAddress) {
        boolean known = mNode.state().membership().member(host).filter(Member::voter).isPresent();
        if (known) {
            return CompletableFuture.completedFuture(accepted());
        }
        return change(new MembershipChange.AddLearner(host, linkAddress));
    }

    @Override
    public CompletableFuture<ChangeOutcome> removeMember(HostId host) {
        return change(new MembershipChange.Remove(host));
    }

    @Override
    public CompletableFuture<ControlStatus> status() {
        CompletableFuture<Set<HostId>> hosts = new CompletableFuture<>();
        offerToLeader(new LeaderEvent.HostsAsked(hosts));
        return hosts.completeOnTimeout(Set.of(), STATUS_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(this::status);
    }

    @Override
    public void close() {
        mNode.close();
        mLinks.close();
        mMonitor.close();
        mLeaderDuty.stop(STOP_TIMEOUT);
        mProposalDuty.stop(STOP_TIMEOUT);
    }

    private ControlStatus status(Set<HostId> entryHosts) {
        return new ControlStatus(
                mSelf,
                leads(),
                mNode.leaderHint(),
                mNode.state().term(),
                mNode.state().membership(),
                mHolder.state(),
                entryHosts);
    }

    private CompletableFuture<ChangeOutcome> change(MembershipChange change) {
        return mNode.changeMembership(change)
                .thenApply(
                        result -> {
                            if (result instanceof ProposalResult.Committed) {
                                return accepted();
                            }
                            return refusal("member", failure(result));
                        });
    }

    private ChangeOutcome accepted() {
        return new ChangeOutcome("member", mHolder.state().version(), Optional.empty());
    }

    private static Failure failure(ProposalResult result) {
        if (result instanceof ProposalResult.Rejected rejected) {
            String hint = rejected.leader().map(l -> "; " + l + " leads").orElse("");
            return Failure.notRun(ErrorCode.UNAVAILABLE, rejected.reason() + hint);
        }
        return Failure.mayHaveRun("the leader changed before the outcome was known");
    }

    private static ChangeOutcome refusal(String changeId, Failure failure) {
        return new ChangeOutcome(changeId, 0, Optional.of(failure));
    }

    private void sendConsensus(HostId to, ConsensusMessage message) {
        mLinks.sendToMember(to, message);
    }

    private void offerToLeader(LeaderEvent event) {
        if (!mLeaderDuty.offer(event)) {
            LOG.warn("entryhosts: the leader duty is overloaded, an event was dropped");
        }
    }

    /** A dropped change of state would leave entry hosts with a gap, so it ends the member. */
    private void offerState(LeaderEvent event) {
        if (!mLeaderDuty.offer(event)) {
            throw new IllegalStateException("the leader duty takes no state changes");
        }
    }

    /** Commits a change on this host and returns its stored outcome, empty if it failed. */
    private CompletableFuture<ProposalEvent.Ended> commit(long attempt, OperatorCommand command) {
        return mNode.propose(command)
                .thenApply(
                        result -> {
                            boolean done = result instanceof ProposalResult.Committed;
                            return new ProposalEvent.Ended(
                                    attempt,
                                    done ? mHolder.outcome(command.changeId()) : Optional.empty(),
                                    !(result instanceof ProposalResult.Rejected));
                        });
    }

    /** Takes the events of the consensus thread. */
    private final class FromConsensus implements ConsensusListener {
        @Override
        public void onRestored(Snapshot snapshot) {
            mHolder.restore(snapshot.state());
        }

        @Override
        public void onCommitted(long index, ControlCommand command) {
            ControlState state = mHolder.apply(index, command);
            offerState(new LeaderEvent.Applied(index, command, state));
        }

        @Override
        public ControlState controlState() {
            return mHolder.state();
        }

        @Override
        public void onLeadershipGained(long term) {
            LOG.info("controlhosts: {} leads in term {}", mSelf, term);
            offerState(new LeaderEvent.Gained(term, mHolder.state()));
        }

        @Override
        public void onLeadershipLost(long term) {
            LOG.info("controlhosts: {} does not lead any more in term {}", mSelf, term);
            offerState(new LeaderEvent.Lost());
        }

        @Override
        public void onMembership(Membership membership) {
            LOG.info("controlhosts: members are {}", membership.members());
            // A member that lost its disk knows no members, and has to ask the leader for its log.
            mLinks.keep(membership.members().isEmpty() ? mNamed : membership);
        }

        @Override
        public void onFailure(RuntimeException failure) {
            mOnFailure.accept(failure);
        }
    }

    /** Takes the events of links. */
    private final class FromLinks implements ControlLinks.Listener {
        @Override
        public void consensus(HostId from, ConsensusMessage message) {
            if (mNode != null) {
                mNode.onMessage(from, message);
            }
        }

        @Override
        public void report(HostId from, EntryReport report) {
            offerToLeader(new LeaderEvent.Reported(from, report));
        }

        @Override
        public void proposal(HostId from, ForwardedProposal proposal) {
            if (proposal.command() instanceof OperatorCommand command && mNode != null) {
                commit(proposal.id(), command)
                        .thenAccept(
                                ended ->
                                        mLinks.sendToIncoming(
                                                from,
                                                new ProposalReply(
                                                        proposal.id(), reply(command, ended))));
            }
        }

        @Override
        public void proposalReply(ProposalReply reply) {
            CompletableFuture<ChangeOutcome> waiting = mForwards.remove(reply.id());
            if (waiting != null) {
                waiting.complete(reply.outcome());
            }
        }

        @Override
        public void closed(HostId host) {
            offerToLeader(new LeaderEvent.LinkClosed(host));
        }

        private ChangeOutcome reply(OperatorCommand command, ProposalEvent.Ended ended) {
            return ended.outcome()
                    .orElseGet(
                            () ->
                                    refusal(
                                            command.changeId(),
                                            ended.mayHaveRun()
                                                    ? Failure.mayHaveRun("the outcome is unknown")
                                                    : Failure.notRun(
                                                            ErrorCode.UNAVAILABLE,
                                                            "this host does not lead")));
        }
    }

    /** Connects the proposal duty with this member. */
    private final class Proposals implements ProposalPorts {
        @Override
        public boolean leads() {
            return ControlMember.this.leads();
        }

        @Override
        public Optional<HostId> leaderHint() {
            return mNode == null ? Optional.empty() : mNode.leaderHint();
        }

        @Override
        public void proposeHere(long attempt, OperatorCommand command) {
            commit(attempt, command).thenAccept(ended -> mProposalDuty.offer(ended));
        }

        @Override
        public boolean forward(HostId leader, long attempt, OperatorCommand command) {
            CompletableFuture<ChangeOutcome> reply = new CompletableFuture<>();
            mForwards.put(attempt, reply);
            reply.thenAccept(outcome -> mProposalDuty.offer(ended(attempt, outcome)));
            boolean sent = mLinks.sendToMember(leader, new ForwardedProposal(attempt, command));
            if (!sent) {
                mForwards.remove(attempt);
            }
            return sent;
        }

        private ProposalEvent.Ended ended(long attempt, ChangeOutcome outcome) {
            ErrorCode code = outcome.refusal().map(Failure::code).orElse(ErrorCode.INTERNAL);
            boolean retry = code == ErrorCode.UNAVAILABLE || code == ErrorCode.OUTCOME_UNKNOWN;
            return new ProposalEvent.Ended(
                    attempt,
                    retry ? Optional.empty() : Optional.of(outcome),
                    code == ErrorCode.OUTCOME_UNKNOWN);
        }
    }

    /** Connects the leader duty with this member. */
    private final class Ports implements LeaderPorts {
        @Override
        public boolean leads() {
            return ControlMember.this.leads();
        }

        @Override
        public Optional<HostId> leaderHint() {
            return mNode == null ? Optional.empty() : mNode.leaderHint();
        }

        @Override
        public void propose(ControlCommand command) {
            mNode.propose(command);
        }

        @Override
        public void send(HostId host, PeerMessage message) {
            mLinks.sendToIncoming(host, message);
        }

        @Override
        public void order(String statusAddress, EndpointCommand command) {
            mCommander
                    .send(statusAddress, command)
                    .thenAccept(result -> offerToLeader(new LeaderEvent.Ordered(result)));
        }

        @Override
        public void watch(EndpointId endpoint, String statusAddress) {
            mMonitor.watch(endpoint, statusAddress);
        }

        @Override
        public void unwatch(EndpointId endpoint) {
            mMonitor.unwatch(endpoint);
        }

        @Override
        public void promoteLearners() {
            mNode.state().membership().members().stream()
                    .filter(member -> !member.voter())
                    .map(member -> new MembershipChange.Promote(member.host()))
                    .forEach(mNode::changeMembership);
        }
    }
}
