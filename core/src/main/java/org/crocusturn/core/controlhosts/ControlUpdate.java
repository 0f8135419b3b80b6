package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.PeerMessage;

/**
 * Answers the report of an entry host, or informs the host of a change without a new report.
 *
 * @param leaderTerm consensus term of the leader that sends it
 * @param sequence sequence of the latest report that the update answers
 * @param version version of the replicated state after the update
 * @param state changes since the version named in the report
 * @param freshnessMillis time for which the host may accept new requests, counted from the sending
 *     of the answered report, in milliseconds
 * @param leases all group leases that the host holds; a lease that is not listed is lost
 * @param tokens granted rate tokens
 * @param members current control hosts, which the settings of the host may not name
 */
public record ControlUpdate(
        long leaderTerm,
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

    /** Creates an update without control hosts. */
    public ControlUpdate(
            long leaderTerm,
            long sequence,
            long version,
            StateUpdate state,
            long freshnessMillis,
            List<LeaseGrant> leases,
            List<TokenGrant> tokens) {
        this(leaderTerm, sequence, version, state, freshnessMillis, leases, tokens, List.of());
    }

    /** Returns a copy with the given control hosts. */
    public ControlUpdate withMembers(List<Member> hosts) {
        return new ControlUpdate(
                leaderTerm, sequence, version, state, freshnessMillis, leases, tokens, hosts);
    }
}
