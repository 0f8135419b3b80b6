package org.crocusturn.daemon.controlhosts;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.ring.ThreadFailures;
import org.crocusturn.daemon.endpoints.EndpointCommandClient;
import org.crocusturn.daemon.endpoints.StatusMonitor;
import org.crocusturn.daemon.entryhosts.LeaderContext;
import org.crocusturn.daemon.entryhosts.LeaderEvent;
import org.crocusturn.daemon.net.NetThreads;

/** Connects the leader duty to the consensus group, the entry hosts and the endpoints. */
final class LeaderConnections implements LeaderContext, AutoCloseable {
    private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(500);

    private final Supplier<Optional<ControlNode>> mNode;
    private final BiConsumer<HostId, PeerMessage> mSender;
    private final Consumer<PeerMessage> mBroadcaster;
    private final Consumer<LeaderEvent> mLeaderEvents;
    private final EndpointCommandClient mCommandClient;
    private final StatusMonitor mStatusMonitor;
    private final MembershipManager mMembershipManager;

    private LeaderConnections(
            NetThreads threads,
            Supplier<Optional<ControlNode>> node,
            BiConsumer<HostId, PeerMessage> sender,
            Consumer<PeerMessage> broadcaster,
            Consumer<LeaderEvent> leaderEvents,
            MembershipManager membershipManager) {
        mNode = node;
        mBroadcaster = broadcaster;
        mMembershipManager = membershipManager;
        mSender = sender;
        mLeaderEvents = leaderEvents;
        mCommandClient = EndpointCommandClient.create(threads, COMMAND_TIMEOUT);
        mStatusMonitor =
                StatusMonitor.start(
                        threads,
                        observation ->
                                leaderEvents.accept(new LeaderEvent.EndpointObserved(observation)));
    }

    /**
     * Creates the connections.
     *
     * @param threads I/O threads
     * @param node supplier of the consensus node; empty until it has started
     * @param sender sends a message to an entry host
     * @param broadcaster sends a message to all hosts whose links to this host are open
     * @param leaderEvents consumer of command results and status observations of endpoints
     * @param membershipManager maintains the membership of the consensus group
     */
    static LeaderConnections create(
            NetThreads threads,
            Supplier<Optional<ControlNode>> node,
            BiConsumer<HostId, PeerMessage> sender,
            Consumer<PeerMessage> broadcaster,
            Consumer<LeaderEvent> leaderEvents,
            MembershipManager membershipManager) {
        return new LeaderConnections(
                threads, node, sender, broadcaster, leaderEvents, membershipManager);
    }

    @Override
    public boolean isLeaderLeaseValid() {
        return mNode.get().map(ControlNode::isLeaderLeaseValid).orElse(false);
    }

    @Override
    public Optional<HostId> leaderHint() {
        return mNode.get().flatMap(ControlNode::leaderHint);
    }

    @Override
    public long term() {
        return mNode.get().map(n -> n.state().term()).orElse(0L);
    }

    @Override
    public void sendToAll(PeerMessage message) {
        mBroadcaster.accept(message);
    }

    @Override
    public void propose(ControlCommand command) {
        mNode.get().ifPresent(node -> node.propose(command));
    }

    @Override
    public void send(HostId host, PeerMessage message) {
        mSender.accept(host, message);
    }

    @Override
    public void sendCommand(String statusAddress, EndpointCommand command) {
        mCommandClient
                .send(statusAddress, command)
                .thenAccept(
                        ThreadFailures.guard(
                                result ->
                                        mLeaderEvents.accept(
                                                new LeaderEvent.CommandFinished(result))));
    }

    @Override
    public void watch(EndpointId endpoint, String statusAddress) {
        mStatusMonitor.watch(endpoint, statusAddress);
    }

    @Override
    public void unwatch(EndpointId endpoint) {
        mStatusMonitor.unwatch(endpoint);
    }

    @Override
    public List<Member> members() {
        return mNode.get().map(n -> n.state().membership().members()).orElse(List.of());
    }

    @Override
    public boolean reconcileMembership(Map<HostId, String> joining, long nowNanos) {
        return mNode.get()
                .map(node -> mMembershipManager.reconcile(node, joining, nowNanos))
                .orElse(false);
    }

    @Override
    public void requestJoin(long nowNanos) {
        mNode.get().ifPresent(node -> mMembershipManager.requestJoin(node, nowNanos));
    }

    @Override
    public void close() {
        mStatusMonitor.close();
    }
}
