package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.PeerMessage;

/**
 * Answers an entry host's report, or tells it of a change at once.
 *
 * @param leader consensus term of the leader that sends it
 * @param sequence sequence of the latest report that it answers
 * @param version version of the state that the update leads to
 * @param state what changed since the version that the report named
 * @param freshnessMillis time for which the host may take new work, counted from the sending of the
 *     answered report, in milliseconds
 * @param leases group leases that the host holds; a lease missing here is lost
 * @param tokens rate tokens
 */
public record ControlUpdate(
        long leader,
        long sequence,
        long version,
        StateUpdate state,
        long freshnessMillis,
        List<LeaseGrant> leases,
        List<TokenGrant> tokens)
        implements PeerMessage {
    /** Copies the lists. */
    public ControlUpdate {
        Objects.requireNonNull(state, "state");
        leases = List.copyOf(leases);
        tokens = List.copyOf(tokens);
    }
}
