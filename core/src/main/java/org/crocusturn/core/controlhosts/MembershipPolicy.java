package org.crocusturn.core.controlhosts;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.HostId;

/**
 * Chooses the next change of the consensus group that a leader should make.
 *
 * <p>Hosts that ask to join become learners. A learner is promoted if that makes the number of
 * voters odd, or to replace an absent voter, which is removed after the promotion. An even number
 * of voters tolerates no more failures than the odd number below it.
 */
public final class MembershipPolicy {
    /**
     * Silence after which a voter is replaced if a learner is ready, in nanoseconds. A host that
     * takes the place of a lost one has to be a voter, and the lost one has to be removed, before
     * further hosts may be lost. The users' platform allows 4 s after the start of the new host, of
     * which joining takes up to 2 s. A voter that was only silent joins again as a learner.
     */
    public static final long REPLACEMENT_SILENCE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Interval of the checks whether a change is due, in nanoseconds. */
    public static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Interval of the checks after a change was due, in nanoseconds. A replacement takes two
     * changes, and between them the group tolerates the loss of fewer voters.
     */
    public static final long FOLLOW_UP_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

    /** Maximum number of members; further learners would only add heartbeat traffic. */
    static final int MAX_MEMBERS = 9;

    private MembershipPolicy() {}

    /**
     * Returns the next change, if one is due.
     *
     * @param membership membership in force
     * @param joining hosts that recently asked to join, with their link addresses
     * @param absent members other than the leader that have been silent for {@link
     *     #REPLACEMENT_SILENCE_NANOS}, and voters that do not count
     * @param ready learners that have caught up
     */
    public static Optional<MembershipChange> next(
            Membership membership,
            Map<HostId, String> joining,
            Set<HostId> absent,
            Set<HostId> ready) {
        return removeMoved(membership, joining)
                .or(() -> removeSilentLearner(membership, absent))
                .or(() -> removeExcessVoter(membership, absent))
                .or(() -> promoteLearner(membership, absent, ready))
                .or(() -> addLearner(membership, joining));
    }

    /** Removes a member whose host asks to join with a different address. */
    private static Optional<MembershipChange> removeMoved(
            Membership membership, Map<HostId, String> joining) {
        return membership.members().stream()
                .filter(m -> joining.containsKey(m.host()))
                .filter(m -> !m.linkAddress().equals(joining.get(m.host())))
                .findFirst()
                .map(m -> new MembershipChange.Remove(m.host()));
    }

    private static Optional<MembershipChange> removeSilentLearner(
            Membership membership, Set<HostId> absent) {
        return membership.members().stream()
                .filter(m -> !m.voter() && absent.contains(m.host()))
                .findFirst()
                .map(m -> new MembershipChange.Remove(m.host()));
    }

    private static Optional<MembershipChange> removeExcessVoter(
            Membership membership, Set<HostId> absent) {
        List<Member> voters = membership.voters();
        return voters.size() % 2 == 1
                ? Optional.empty()
                : voters.stream()
                        .filter(m -> absent.contains(m.host()))
                        .findFirst()
                        .map(m -> new MembershipChange.Remove(m.host()));
    }

    private static Optional<MembershipChange> promoteLearner(
            Membership membership, Set<HostId> absent, Set<HostId> ready) {
        List<Member> voters = membership.voters();
        boolean hasAbsentVoter = voters.stream().anyMatch(m -> absent.contains(m.host()));
        boolean hasEvenVoters = voters.size() % 2 == 0;
        long learners = membership.members().stream().filter(m -> !m.voter()).count();
        // Two learners are promoted one after the other; the number of voters is even only briefly.
        return hasAbsentVoter || hasEvenVoters || learners >= 2
                ? membership.members().stream()
                        .filter(m -> !m.voter() && ready.contains(m.host()))
                        .min(Comparator.comparing(Member::host))
                        .map(m -> new MembershipChange.Promote(m.host()))
                : Optional.empty();
    }

    private static Optional<MembershipChange> addLearner(
            Membership membership, Map<HostId, String> joining) {
        return membership.members().size() >= MAX_MEMBERS
                ? Optional.empty()
                : joining.entrySet().stream()
                        .filter(e -> membership.member(e.getKey()).isEmpty())
                        .min(Map.Entry.comparingByKey())
                        .map(e -> new MembershipChange.AddLearner(e.getKey(), e.getValue()));
    }
}
