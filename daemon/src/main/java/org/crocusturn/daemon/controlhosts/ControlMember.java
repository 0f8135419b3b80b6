package org.crocusturn.daemon.controlhosts;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.ConsensusMessage;
import org.crocusturn.core.controlhosts.EndpointNotice;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.FirstStart;
import org.crocusturn.core.controlhosts.FirstStartAction;
import org.crocusturn.core.controlhosts.FirstStartIds;
import org.crocusturn.core.controlhosts.ForwardedProposal;
import org.crocusturn.core.controlhosts.JoinRequest;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.MembershipChange;
import org.crocusturn.core.controlhosts.ProposalReply;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.controlhosts.UsageReceipt;
import org.crocusturn.core.controlhosts.UsageReport;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.UsageLedger;
import org.crocusturn.core.ring.BudgetedHandler;
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.core.ring.HeapShare;
import org.crocusturn.daemon.entryhosts.LeaderDuty;
import org.crocusturn.daemon.entryhosts.LeaderEvent;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.net.SharedSecret;
import org.crocusturn.daemon.operators.ControlAccess;
import org.crocusturn.daemon.operators.ControlStatus;
import org.crocusturn.daemon.platform.Metrics;
import org.crocusturn.daemon.platform.UsageService;
import org.crocusturn.daemon.settings.MemberSettings;

/**
 * Runs this host's member of the consensus group together with the duties of a control host:
 * leader, proposals and first start.
 *
 * <p>Safe for any thread.
 */
public final class ControlMember implements ControlAccess, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlMember.class);
    private static final int LEADER_RING_CAPACITY = 65_536;
    private static final int FIRST_START_RING_CAPACITY = 256;
    private static final LogCodec CODEC = ProtobufLogCodec.create();
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);

    private final HostId mSelf;
    private final Consumer<RuntimeException> mOnFailure;
    private final StateHolder mStateHolder = new StateHolder();
    private final VoteHandover mVoteHandover = new VoteHandover();
    private final ControlLinks mLinks;
    private final LeaderConnections mConnections;
    private final Duty<LeaderEvent> mLeaderDuty;
    private final ChangeProposals mProposals;
    private final Duty<FirstStartEvent> mFirstStartDuty;

    /** Empty if usage is not reported. */
    private final Optional<UsageMetering> mUsage;

    private final Path mDataFolder;
    private final Membership mConfiguredMembers;

    /** Bytes of the state changes that the leader duty has not handled. */
    private final ByteBudget mStateChangeBytes = HeapShare.SIXTEENTH.newBudget();

    /** Null until it is decided whether this is a first start. */
    private volatile ControlNode mNode;

    private volatile boolean mClosed;

    private ControlMember(
            MemberSettings settings,
            NetThreads threads,
            Metrics metrics,
            Optional<UsageService> usageService,
            Consumer<RuntimeException> onFailure) {
        mSelf = settings.host();
        mDataFolder = settings.dataFolder();
        mConfiguredMembers = settings.firstMembership();
        mOnFailure = onFailure;
        mConnections =
                LeaderConnections.create(
                        threads,
                        this::node,
                        this::sendToEntryHost,
                        this::sendToLinkedHosts,
                        this::offerToLeader,
                        settings.automaticMembers()
                                ? new AutomaticMembership(settings, this::sendToAllMembers)
                                : new ManualMembership());
        mLeaderDuty =
                Duty.start(
                        mSelf + "-leader",
                        LEADER_RING_CAPACITY,
                        BudgetedHandler.of(
                                LeaderDuty.create(mConnections, metrics),
                                mStateChangeBytes,
                                LeaderEvent::approximateBytes),
                        this::reportFailure);
        mProposals =
                ChangeProposals.start(
                        mSelf,
                        this::node,
                        mStateHolder,
                        this::sendToMember,
                        this::sendToEntryHost,
                        this::reportFailure);
        mUsage =
                settings.metering()
                        .map(
                                metering ->
                                        UsageMetering.start(
                                                mSelf,
                                                metering,
                                                usageService,
                                                new MemberUsageContext(),
                                                metrics,
                                                this::reportFailure));
        mLinks =
                ControlLinks.start(
                        threads,
                        settings.link(),
                        mSelf,
                        SharedSecret.of(settings.linkSecret().bytes()),
                        new LinksListener());
        mLinks.updateMembers(mConfiguredMembers);
        boolean asksMembers =
                settings.bootstrap()
                        && settings.isFirstMember()
                        && !ControlNode.hasStoredState(mDataFolder, CODEC);
        if (!asksMembers) {
            startNode(Optional.empty());
        }
        mFirstStartDuty = startFirstStartDuty(asksMembers);
    }

    /**
     * Starts the member.
     *
     * @param settings settings of the host
     * @param threads I/O threads
     * @param metrics metrics of the process
     * @param onFailure called if the member has failed and cannot continue
     */
    public static ControlMember start(
            MemberSettings settings,
            NetThreads threads,
            Metrics metrics,
            Consumer<RuntimeException> onFailure) {
        return start(settings, threads, metrics, Optional.empty(), onFailure);
    }

    /**
     * Starts the member.
     *
     * @param settings settings of the host
     * @param threads I/O threads
     * @param metrics metrics of the process
     * @param usageService platform to which usage is reported; without it a closed window counts as
     *     reported
     * @param onFailure called if the member has failed and cannot continue
     */
    public static ControlMember start(
            MemberSettings settings,
            NetThreads threads,
            Metrics metrics,
            Optional<UsageService> usageService,
            Consumer<RuntimeException> onFailure) {
        return new ControlMember(
                settings,
                Objects.requireNonNull(threads, "threads"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(usageService, "usageService"),
                Objects.requireNonNull(onFailure, "onFailure"));
    }

    /** Returns whether this host is the leader and its leader lease is valid. */
    public boolean isLeader() {
        return node().filter(ControlNode::isLeaderLeaseValid).isPresent();
    }

    /** Returns whether this host has started and has no recovery of its log in progress. */
    public boolean isRecovered() {
        return node().filter(node -> !node.state().hardState().recovering()).isPresent();
    }

    /** Returns the state that this host has applied. */
    public ControlState state() {
        return mStateHolder.state();
    }

    /** Handles the announcement of an endpoint. */
    public void onAnnouncement(EndpointRecord endpoint) {
        offerToLeader(new LeaderEvent.AnnouncementReceived(endpoint));
    }

    /**
     * Passes an endpoint notice to the leader.
     *
     * @return false if no leader is known or the notice was not sent
     */
    public boolean reportToLeader(EndpointNotice notice) {
        if (isLeader()) {
            offerToLeader(toLeaderEvent(notice));
            return true;
        }
        return leaderHint().filter(leader -> sendToMember(leader, notice)).isPresent();
    }

    /** Returns the leader that this host knows, if any. */
    public Optional<HostId> leaderHint() {
        return node().flatMap(ControlNode::leaderHint);
    }

    /**
     * Returns whether this host is the leader and a majority has answered messages that it sent
     * after the given time. Its applied state then includes everything that was committed before
     * that time.
     *
     * @param sinceNanos steady time in nanoseconds
     */
    public boolean isConfirmedSince(long sinceNanos) {
        return node().filter(node -> node.isLeadershipConfirmedSince(sinceNanos)).isPresent();
    }

    /**
     * Transfers the leadership to another member before this host stops. The future completes when
     * this host is not the leader or no other member can take over.
     */
    public CompletableFuture<Void> transferLeadership() {
        return node().map(ControlNode::transferLeadership)
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    /** Lets a learner take the place of this voter before it stops, if one is ready in time. */
    public CompletableFuture<Void> handOverVote() {
        return node().map(mVoteHandover::start)
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    @Override
    public CompletableFuture<ChangeOutcome> propose(OperatorCommand command) {
        return propose(command, ProposalDuty.PROPOSAL_TIMEOUT);
    }

    /** Proposes a change, but starts no attempt after a time in which its sender gives it up. */
    public CompletableFuture<ChangeOutcome> propose(OperatorCommand command, Duration limit) {
        return mProposals.propose(command, limit);
    }

    @Override
    public long precedingDrainOrder(DataCentreId dataCentre, long earliestSentNanos) {
        return mStateHolder.drainOrders().precedingOrder(dataCentre, earliestSentNanos);
    }

    @Override
    public CompletableFuture<ChangeOutcome> addMember(HostId host, String linkAddress) {
        boolean alreadyVoter =
                node().flatMap(node -> node.state().membership().member(host))
                        .filter(Member::voter)
                        .isPresent();
        if (alreadyVoter) {
            return CompletableFuture.completedFuture(acceptedOutcome());
        }
        return changeMembership(new MembershipChange.AddLearner(host, linkAddress));
    }

    @Override
    public CompletableFuture<ChangeOutcome> removeMember(HostId host) {
        return changeMembership(new MembershipChange.Remove(host));
    }

    @Override
    public CompletableFuture<ControlStatus> status() {
        CompletableFuture<Set<HostId>> hosts = new CompletableFuture<>();
        offerToLeader(new LeaderEvent.LiveHostsRequested(hosts));
        return hosts.completeOnTimeout(Set.of(), STATUS_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(this::status);
    }

    @Override
    public void close() {
        mClosed = true;
        mFirstStartDuty.stop(STOP_TIMEOUT);
        node().ifPresent(ControlNode::close);
        mLinks.close();
        mConnections.close();
        mLeaderDuty.stop(STOP_TIMEOUT);
        mProposals.stop(STOP_TIMEOUT);
        mUsage.ifPresent(usage -> usage.stop(STOP_TIMEOUT));
    }

    /** Reports that the member cannot continue, unless a stop has interrupted its work. */
    private void reportFailure(RuntimeException failure) {
        if (!mClosed) {
            mOnFailure.accept(failure);
        }
    }

    private ControlStatus status(Set<HostId> entryHosts) {
        return new ControlStatus(
                mSelf,
                isLeader(),
                node().flatMap(ControlNode::leaderHint),
                node().map(node -> node.state().term()).orElse(0L),
                node().map(node -> node.state().membership()).orElse(mConfiguredMembers),
                mStateHolder.state(),
                entryHosts);
    }

    private CompletableFuture<ChangeOutcome> changeMembership(MembershipChange change) {
        if (node().isEmpty()) {
            Failure failure =
                    Failure.notRun(
                            ErrorCode.UNAVAILABLE, "the consensus group has not started yet");
            return CompletableFuture.completedFuture(ChangeRefusals.of("member", failure));
        }
        return mNode.changeMembership(change)
                .thenApply(
                        result -> {
                            if (result instanceof ProposalResult.Committed) {
                                return acceptedOutcome();
                            }
                            return ChangeRefusals.of("member", result);
                        });
    }

    private ChangeOutcome acceptedOutcome() {
        return new ChangeOutcome("member", mStateHolder.state().version(), Optional.empty());
    }

    /** Uses the incoming link if the address of the member is unknown, as during a recovery. */
    private void sendConsensusMessage(HostId to, ConsensusMessage message) {
        if (!mLinks.sendToMember(to, message)) {
            mLinks.sendOverIncomingLink(to, message);
        }
    }

    private void sendToEntryHost(HostId host, PeerMessage message) {
        mLinks.sendOverIncomingLink(host, message);
    }

    private void sendToLinkedHosts(PeerMessage message) {
        mLinks.sendOverIncomingLinks(message);
    }

    private boolean sendToMember(HostId host, PeerMessage message) {
        return mLinks.sendToMember(host, message);
    }

    private void sendToAllMembers(PeerMessage message) {
        mLinks.sendToAllMembers(message);
    }

    private static LeaderEvent toLeaderEvent(EndpointNotice notice) {
        return notice.gone()
                ? new LeaderEvent.DepartureReceived(notice.endpoint().id())
                : new LeaderEvent.AnnouncementReceived(notice.endpoint());
    }

    private Optional<ControlNode> node() {
        return Optional.ofNullable(mNode);
    }

    private void startNode(Optional<Membership> bootstrapMembers) {
        mNode =
                ControlNode.start(
                        mDataFolder,
                        mSelf,
                        bootstrapMembers,
                        CODEC,
                        this::sendConsensusMessage,
                        new NodeListener());
    }

    private Duty<FirstStartEvent> startFirstStartDuty(boolean asksMembers) {
        FirstStartFile file = FirstStartFile.in(mDataFolder);
        FirstStartIds ids = file.load();
        FirstStart state =
                asksMembers
                        ? FirstStart.asking(mSelf, mConfiguredMembers, ids)
                        : FirstStart.answering(mSelf, mConfiguredMembers, ids);
        return Duty.start(
                mSelf + "-first-start",
                FIRST_START_RING_CAPACITY,
                FirstStartDuty.create(state, file, this::hasLog, this::performFirstStart),
                this::reportFailure);
    }

    private boolean hasLog() {
        return node().filter(n -> n.state().term() > 0 || n.state().log().lastIndex() > 0)
                .isPresent();
    }

    private void performFirstStart(FirstStartAction action) {
        if (action instanceof FirstStartAction.Ask ask) {
            mLinks.sendToMember(ask.to(), ask.question());
        } else if (action instanceof FirstStartAction.Answer answer) {
            mLinks.sendOverIncomingLink(answer.to(), answer.answer());
        } else if (action instanceof FirstStartAction.Start start) {
            startNode(start.startsGroup() ? Optional.of(mConfiguredMembers) : Optional.empty());
        }
    }

    private void offerToLeader(LeaderEvent event) {
        if (!mLeaderDuty.offer(event)) {
            LOG.warn(
                    "entryhosts: an event was dropped because the ring of the leader duty is full");
        }
    }

    /**
     * Adds a state change to the ring of the leader duty. A full ring stops the member, because
     * entry hosts would otherwise miss the change.
     */
    private void offerStateChange(LeaderEvent event) {
        mStateChangeBytes.reserve(event.approximateBytes());
        if (!mLeaderDuty.offer(event)) {
            throw new IllegalStateException(
                    "a state change was not accepted because the ring of the leader duty is full");
        }
    }

    /** Applies the events of the consensus thread. */
    private final class NodeListener implements ConsensusListener {
        @Override
        public void onRestored(Snapshot snapshot) {
            mStateHolder.restore(snapshot.state());
            offerStateChange(new LeaderEvent.StateRestored(snapshot.state()));
        }

        @Override
        public void onCommitted(long index, ControlCommand command) {
            ControlState state = mStateHolder.apply(index, command);
            offerStateChange(new LeaderEvent.CommandApplied(index, command, state));
        }

        @Override
        public boolean acceptsCommands() {
            return !mStateChangeBytes.isExhausted();
        }

        @Override
        public ControlState controlState() {
            return mStateHolder.state();
        }

        @Override
        public void onLeadershipGained(long term) {
            LOG.info("controlhosts: {} leads in term {}", mSelf, term);
            offerStateChange(new LeaderEvent.LeadershipGained(term, mStateHolder.state()));
            mUsage.ifPresent(usage -> usage.onLeadership(Optional.of(term)));
        }

        @Override
        public void onLeadershipLost(long term) {
            LOG.info("controlhosts: {} has lost the leadership of term {}", mSelf, term);
            offerStateChange(new LeaderEvent.LeadershipLost());
            mUsage.ifPresent(usage -> usage.onLeadership(Optional.empty()));
        }

        @Override
        public void onMembershipChanged(Membership membership) {
            LOG.info("controlhosts: members are {}", membership.members());
            // The log of a recovering member does not list the members yet, so it links to the
            // members of its settings.
            mLinks.updateMembers(membership.members().isEmpty() ? mConfiguredMembers : membership);
        }

        @Override
        public void onFailure(RuntimeException failure) {
            reportFailure(failure);
        }
    }

    /** Passes the events of the links to the duties. */
    private final class LinksListener implements ControlLinks.Listener {
        @Override
        public void onConsensusMessage(HostId from, ConsensusMessage message) {
            if (mNode != null) {
                mNode.onMessage(from, message);
            }
        }

        @Override
        public void onFirstStartEvent(FirstStartEvent event) {
            if (mFirstStartDuty == null || !mFirstStartDuty.offer(event)) {
                LOG.debug("controlhosts: dropped a first start message: {}", event);
            }
        }

        @Override
        public void onReport(HostId from, EntryReport report) {
            mUsage.ifPresent(usage -> usage.onReport(from, report));
            offerToLeader(new LeaderEvent.ReportReceived(from, report));
        }

        @Override
        public void onUsageReport(HostId from, UsageReport report) {
            mUsage.ifPresent(usage -> usage.onReport(from, report));
        }

        @Override
        public void onJoinRequest(JoinRequest request) {
            if (isLeader()) {
                offerToLeader(new LeaderEvent.JoinRequested(request));
            } else {
                leaderHint()
                        .filter(leader -> !leader.equals(request.host()))
                        .ifPresent(leader -> sendToMember(leader, request));
            }
        }

        @Override
        public void onEndpointNotice(EndpointNotice notice) {
            if (isLeader()) {
                offerToLeader(toLeaderEvent(notice));
            }
        }

        @Override
        public void onForwardedProposal(HostId from, ForwardedProposal proposal) {
            mProposals.onForwardedProposal(from, proposal);
        }

        @Override
        public void onProposalReply(ProposalReply reply) {
            mProposals.onReply(reply);
        }

        @Override
        public void onLinkClosed(HostId host) {
            node().ifPresent(node -> mVoteHandover.onLinkClosed(node, host));
            offerToLeader(new LeaderEvent.EntryLinkClosed(host));
        }
    }

    /** Gives the usage duty access to this member. */
    private final class MemberUsageContext implements UsageContext {
        @Override
        public boolean isLeaderLeaseValid() {
            return isLeader();
        }

        @Override
        public UsageLedger ledger() {
            return mStateHolder.state().usage();
        }

        @Override
        public void propose(ControlCommand command) {
            node().ifPresent(node -> node.propose(command));
        }

        @Override
        public void send(HostId host, UsageReceipt receipt) {
            mLinks.sendOverIncomingLink(host, receipt);
        }
    }
}
