package org.crocusturn.core.endpoints;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.LogPosition;

/**
 * Failover state of one group at the control leader; advanced by {@link FailoverDecisions}.
 *
 * <p>Immutable. A new leader starts with {@link #of} and learns from the control log which failover
 * an earlier leader began.
 *
 * @param group the group
 * @param phase current phase
 * @param term term of the failover; 0 while healthy
 * @param sinceNanos time at which the current phase began
 * @param planned whether this is a planned switchover, so that the old primary is expected to
 *     respond
 * @param fenced positions of the copies fenced at the term
 * @param candidate copy to promote; each term has at most one
 * @param startIndex log index at which the term begins
 * @param proposedNanos time of the last proposal in the current phase, if there was one
 * @param silencedNanos time at which the leader learned that no more writes are acknowledged, if it
 *     did
 * @param ordered time of the last command to each endpoint in the current phase
 * @param following endpoints that confirmed to replicate from the current primary
 */
public record GroupFailover(
        GroupId group,
        FailoverPhase phase,
        long term,
        long sinceNanos,
        boolean planned,
        Map<EndpointId, LogPosition> fenced,
        Optional<EndpointId> candidate,
        long startIndex,
        OptionalLong proposedNanos,
        OptionalLong silencedNanos,
        Map<EndpointId, Long> ordered,
        Set<EndpointId> following) {
    /** Takes defensive copies of the collections. */
    public GroupFailover {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(candidate, "candidate");
        fenced = Map.copyOf(fenced);
        ordered = Map.copyOf(ordered);
        following = Set.copyOf(following);
    }

    /** Creates the initial state of a group. */
    public static GroupFailover of(GroupId group, long nowNanos) {
        return new GroupFailover(
                group,
                FailoverPhase.HEALTHY,
                0,
                nowNanos,
                false,
                Map.of(),
                Optional.empty(),
                0,
                OptionalLong.empty(),
                OptionalLong.empty(),
                Map.of(),
                Set.of());
    }

    /** Returns whether a command to an endpoint may be sent again. */
    boolean isOrderDue(EndpointId endpoint, long nowNanos, long repeatNanos) {
        Long last = ordered.get(endpoint);
        return last == null || nowNanos - last >= repeatNanos;
    }

    /** Returns the state at the start of a phase. */
    GroupFailover withPhase(FailoverPhase next, long nextTerm, long nowNanos) {
        return new GroupFailover(
                group,
                next,
                nextTerm,
                nowNanos,
                planned,
                fenced,
                candidate,
                startIndex,
                OptionalLong.empty(),
                OptionalLong.empty(),
                Map.of(),
                Set.of());
    }

    GroupFailover withAttempt(boolean expected, long nextTerm, long nowNanos) {
        return new GroupFailover(
                group,
                FailoverPhase.BEGINNING,
                nextTerm,
                nowNanos,
                expected,
                Map.of(),
                Optional.empty(),
                0,
                OptionalLong.empty(),
                OptionalLong.empty(),
                Map.of(),
                Set.of());
    }

    GroupFailover withCandidate(EndpointId endpoint, long start, long nowNanos) {
        return new GroupFailover(
                group,
                FailoverPhase.PROMOTING,
                term,
                nowNanos,
                planned,
                fenced,
                Optional.of(endpoint),
                start,
                OptionalLong.empty(),
                OptionalLong.empty(),
                Map.of(),
                Set.of());
    }

    GroupFailover withFenced(EndpointId endpoint, LogPosition position) {
        Map<EndpointId, LogPosition> all = new HashMap<>(fenced);
        all.put(endpoint, position);
        return copy(all, proposedNanos, silencedNanos, ordered, following);
    }

    GroupFailover withProposed(long nowNanos) {
        return copy(fenced, OptionalLong.of(nowNanos), silencedNanos, ordered, following);
    }

    GroupFailover withSilenced(long nowNanos) {
        return silencedNanos.isPresent()
                ? this
                : copy(fenced, proposedNanos, OptionalLong.of(nowNanos), ordered, following);
    }

    GroupFailover withOrdered(EndpointId endpoint, long nowNanos) {
        Map<EndpointId, Long> all = new HashMap<>(ordered);
        all.put(endpoint, nowNanos);
        return copy(fenced, proposedNanos, silencedNanos, all, following);
    }

    GroupFailover withFollowing(EndpointId endpoint, boolean follows) {
        if (following.contains(endpoint) == follows) {
            return this;
        }
        Set<EndpointId> all = new HashSet<>(following);
        if (follows) {
            all.add(endpoint);
        } else {
            all.remove(endpoint);
        }
        return copy(fenced, proposedNanos, silencedNanos, ordered, all);
    }

    private GroupFailover copy(
            Map<EndpointId, LogPosition> newFenced,
            OptionalLong newProposed,
            OptionalLong newSilenced,
            Map<EndpointId, Long> newOrdered,
            Set<EndpointId> newFollowing) {
        return new GroupFailover(
                group,
                phase,
                term,
                sinceNanos,
                planned,
                newFenced,
                candidate,
                startIndex,
                newProposed,
                newSilenced,
                newOrdered,
                newFollowing);
    }
}
