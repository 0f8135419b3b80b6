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
 * @param members control hosts in force, so that a host finds those that its settings do not name
 */
public record ControlUpdate(
        long leader,
        long sequence,
        long version,
        StateUpdate state,
        long freshnessMillis,
        List<LeaseGrant> leases,
        List<TokenGrant> tokens,
        List<Member> members)
        implements PeerMessage {
    /** Copies the lists. */
    public ControlUpdate {
        Objects.requireNonNull(state, "state");
        leases = List.copyOf(leases);
        tokens = List.copyOf(tokens);
        members = List.copyOf(members);
    }

    /** Creates an update that names no control hosts. */
    public ControlUpdate(
            long leader,
            long sequence,
            long version,
            StateUpdate state,
            long freshnessMillis,
            List<LeaseGrant> leases,
            List<TokenGrant> tokens) {
        this(leader, sequence, version, state, freshnessMillis, leases, tokens, List.of());
    }

    /** Returns a copy that names the control hosts. */
    public ControlUpdate withMembers(List<Member> hosts) {
        return new ControlUpdate(
                leader, sequence, version, state, freshnessMillis, leases, tokens, hosts);
    }
}
