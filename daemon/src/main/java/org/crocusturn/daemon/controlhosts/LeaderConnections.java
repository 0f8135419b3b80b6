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
import org.crocusturn.daemon.endpoints.EndpointCommandClient;
import org.crocusturn.daemon.endpoints.StatusMonitor;
import org.crocusturn.daemon.entryhosts.LeaderEvent;
import org.crocusturn.daemon.entryhosts.LeaderPorts;
import org.crocusturn.daemon.net.NetThreads;

/** Connects the leader duty with the consensus group, the entry hosts and the endpoints. */
final class LeaderConnections implements LeaderPorts, AutoCloseable {
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

    private final Supplier<Optional<ControlNode>> mNode;
    private final BiConsumer<HostId, PeerMessage> mSender;
    private final Consumer<LeaderEvent> mLeader;
    private final EndpointCommandClient mCommander;
    private final StatusMonitor mMonitor;
    private final MembershipKeeper mKeeper;

    private LeaderConnections(
            NetThreads threads,
            Supplier<Optional<ControlNode>> node,
            BiConsumer<HostId, PeerMessage> sender,
            Consumer<LeaderEvent> leader,
            MembershipKeeper keeper) {
        mNode = node;
        mKeeper = keeper;
        mSender = sender;
        mLeader = leader;
        mCommander = EndpointCommandClient.create(threads, ORDER_TIMEOUT);
        mMonitor =
                StatusMonitor.start(threads, seen -> leader.accept(new LeaderEvent.Observed(seen)));
    }

    /**
     * Creates the connections.
     *
     * @param threads I/O threads
     * @param node gives the member of the consensus group once it has started
     * @param sender sends a message to an entry host
     * @param leader takes what endpoints answer
     * @param keeper keeps the consensus group complete
     */
    static LeaderConnections create(
            NetThreads threads,
            Supplier<Optional<ControlNode>> node,
            BiConsumer<HostId, PeerMessage> sender,
            Consumer<LeaderEvent> leader,
            MembershipKeeper keeper) {
        return new LeaderConnections(threads, node, sender, leader, keeper);
    }

    @Override
    public boolean leads() {
        return mNode.get().map(ControlNode::leaderLeaseValid).orElse(false);
    }

    @Override
    public Optional<HostId> leaderHint() {
        return mNode.get().flatMap(ControlNode::leaderHint);
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
    public void order(String statusAddress, EndpointCommand command) {
        mCommander
                .send(statusAddress, command)
                .thenAccept(result -> mLeader.accept(new LeaderEvent.Ordered(result)));
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
    public List<Member> members() {
        return mNode.get().map(n -> n.state().membership().members()).orElse(List.of());
    }

    @Override
    public void keepMembership(Map<HostId, String> joining, long nowNanos) {
        mNode.get().ifPresent(node -> mKeeper.keep(node, joining, nowNanos));
    }

    @Override
    public void join(long nowNanos) {
        mNode.get().ifPresent(node -> mKeeper.join(node, nowNanos));
    }

    @Override
    public void close() {
        mMonitor.close();
    }
}
