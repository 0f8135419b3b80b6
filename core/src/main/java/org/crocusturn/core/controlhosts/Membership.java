package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.HostId;

/**
 * The control hosts of the consensus group.
 *
 * @param members voters and learners, without duplicates
 */
public record Membership(List<Member> members) {
    /** Copies the list. */
    public Membership {
        members = List.copyOf(members);
    }

    /** Returns the members that vote. */
    public List<Member> voters() {
        return members.stream().filter(Member::voter).toList();
    }

    /** Returns the number of voters that form a majority. */
    public int majoritySize() {
        return voters().size() / 2 + 1;
    }

    /**
     * Returns how many of the voters that are not lost yet can lose their logs such that the rest
     * is still a majority; 0 if the rest is no majority already.
     */
    public int tolerableLosses(Set<HostId> lost) {
        long present = voters().stream().filter(m -> !lost.contains(m.host())).count();
        return Math.max(0, Math.toIntExact(present) - majoritySize());
    }

    /** Returns the member on a host, if there is one. */
    public Optional<Member> member(HostId host) {
        return members.stream().filter(m -> m.host().equals(host)).findFirst();
    }
}
