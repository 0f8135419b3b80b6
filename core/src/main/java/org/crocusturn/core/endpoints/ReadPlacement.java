package org.crocusturn.core.endpoints;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.EndpointId;

/**
 * Chooses the copy for a read.
 *
 * <p>Answers a load of many reads beside few writes on copies with few slots: all copies carry
 * reads, the primary last, since it alone can write. A copy that lacks the position would only hold
 * a slot while it waits, so it is chosen only if no other can serve.
 */
public final class ReadPlacement {
    private static final double PRIMARY_COST = 0.4;
    private static final double CONNECT_COST = 0.3;
    private static final double DISTANCE_COST = 0.05;

    private ReadPlacement() {}

    /**
     * Is a copy that can take a statement now.
     *
     * @param endpoint the copy
     * @param primary whether it is the primary
     * @param running statements that it runs
     * @param slots statements that it can run at once
     * @param connected whether an idle connection of the workspace is open
     * @param caughtUp whether it has the position that the read needs
     * @param near whether it is in the leaseholder's data centre
     */
    public record Option(
            EndpointId endpoint,
            boolean primary,
            int running,
            int slots,
            boolean connected,
            boolean caughtUp,
            boolean near) {
        private double cost() {
            return (double) running / Math.max(1, slots)
                    + (primary ? PRIMARY_COST : 0)
                    + (connected ? 0 : CONNECT_COST)
                    + (near ? 0 : DISTANCE_COST);
        }
    }

    /**
     * Returns the copy that should run a read, or empty if it should wait for a slot.
     *
     * @param options copies that are up, with or without a free slot
     */
    public static Optional<EndpointId> choose(List<Option> options) {
        boolean anyCaughtUp = options.stream().anyMatch(Option::caughtUp);
        return options.stream()
                .filter(o -> o.running() < o.slots())
                .filter(o -> o.caughtUp() || !anyCaughtUp)
                .min(Comparator.comparingDouble(Option::cost))
                .map(Option::endpoint);
    }
}
