package org.crocusturn.daemon.controlhosts;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ConsensusState;

/**
 * Lets a learner take the place of a voter that is about to stop, so that the group tolerates as
 * many losses right after the stop as before it. Safe for any thread.
 */
final class VoteHandover {
    private static final Logger LOG = LogManager.getLogger(VoteHandover.class);

    /** The leader checks the members every 500 ms and makes two changes, 100 ms apart. */
    private static final Duration CHANGE_LIMIT = Duration.ofMillis(1_200);

    /** Three heartbeats, after which the leader knows that the host does not count any more. */
    private static final Duration NOTICE_LIMIT = Duration.ofMillis(150);

    private final CompletableFuture<Void> mRemoved = new CompletableFuture<>();

    /** Completes when the host has been removed, or no learner takes its place in time. */
    CompletableFuture<Void> start(ControlNode node) {
        ConsensusState state = node.state();
        if (!state.isVoter() || state.leaderRole().isPresent()) {
            return CompletableFuture.completedFuture(null);
        }
        LOG.info("controlhosts: {} resigns as a voter, because it stops", state.self());
        node.resign();
        boolean hasLearner = state.membership().members().stream().anyMatch(m -> !m.voter());
        Duration limit = hasLearner ? CHANGE_LIMIT : NOTICE_LIMIT;
        return mRemoved.completeOnTimeout(null, limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Members close their links to a host when it has been removed. */
    void onLinkClosed(ControlNode node, HostId from) {
        if (node.state().resigned() && node.state().membership().member(from).isPresent()) {
            mRemoved.complete(null);
        }
    }
}
