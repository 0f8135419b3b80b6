package org.crocusturn.daemon.controlhosts;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.MembershipChange;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.daemon.endpoints.EndpointCommander;
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
    private final EndpointCommander mCommander;
    private final StatusMonitor mMonitor;

    private LeaderConnections(
            NetThreads threads,
            Supplier<Optional<ControlNode>> node,
            BiConsumer<HostId, PeerMessage> sender,
            Consumer<LeaderEvent> leader) {
        mNode = node;
        mSender = sender;
        mLeader = leader;
        mCommander = EndpointCommander.create(threads, ORDER_TIMEOUT);
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
     */
    static LeaderConnections create(
            NetThreads threads,
            Supplier<Optional<ControlNode>> node,
            BiConsumer<HostId, PeerMessage> sender,
            Consumer<LeaderEvent> leader) {
        return new LeaderConnections(threads, node, sender, leader);
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
    public void promoteLearners() {
        mNode.get().ifPresent(LeaderConnections::promoteLearners);
    }

    private static void promoteLearners(ControlNode node) {
        node.state().membership().members().stream()
                .filter(member -> !member.voter())
                .map(member -> new MembershipChange.Promote(member.host()))
                .forEach(node::changeMembership);
    }

    @Override
    public void close() {
        mMonitor.close();
    }
}
