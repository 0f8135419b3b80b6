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
 * @param phaseStartNanos time at which the current phase began
 * @param planned whether this is a planned switchover, so that the old primary is expected to
 *     respond
 * @param fenced positions of the copies fenced at the term
 * @param candidate copy to promote; each term has at most one
 * @param startIndex log index at which the term begins
 * @param proposedNanos time of the last proposal in the current phase, if there was one
 * @param acknowledgementsStoppedNanos time at which the leader learned that no more writes are
 *     acknowledged, if it did
 * @param commandSentNanos time of the last command to each endpoint in the current phase
 * @param confirmedFollowers endpoints that confirmed to replicate from the current primary
 */
public record FailoverState(
        GroupId group,
        FailoverPhase phase,
        long term,
        long phaseStartNanos,
        boolean planned,
        Map<EndpointId, LogPosition> fenced,
        Optional<EndpointId> candidate,
        long startIndex,
        OptionalLong proposedNanos,
        OptionalLong acknowledgementsStoppedNanos,
        Map<EndpointId, Long> commandSentNanos,
        Set<EndpointId> confirmedFollowers) {
    /** Takes defensive copies of the collections. */
    public FailoverState {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(candidate, "candidate");
        fenced = Map.copyOf(fenced);
        commandSentNanos = Map.copyOf(commandSentNanos);
        confirmedFollowers = Set.copyOf(confirmedFollowers);
    }

    /** Creates the initial state of a group. */
    public static FailoverState of(GroupId group, long nowNanos) {
        return new FailoverState(
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
    boolean isCommandDue(EndpointId endpoint, long nowNanos, long repeatNanos) {
        Long last = commandSentNanos.get(endpoint);
        return last == null || nowNanos - last >= repeatNanos;
    }

    /** Returns the state at the start of a phase. */
    FailoverState withPhase(FailoverPhase next, long nextTerm, long nowNanos) {
        return new FailoverState(
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

    FailoverState withNewTerm(boolean isPlanned, long nextTerm, long nowNanos) {
        return new FailoverState(
                group,
                FailoverPhase.BEGINNING,
                nextTerm,
                nowNanos,
                isPlanned,
                Map.of(),
                Optional.empty(),
                0,
                OptionalLong.empty(),
                OptionalLong.empty(),
                Map.of(),
                Set.of());
    }

    FailoverState withCandidate(EndpointId endpoint, long start, long nowNanos) {
        return new FailoverState(
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

    FailoverState withFenced(EndpointId endpoint, LogPosition position) {
        Map<EndpointId, LogPosition> all = new HashMap<>(fenced);
        all.put(endpoint, position);
        return copy(
                all,
                proposedNanos,
                acknowledgementsStoppedNanos,
                commandSentNanos,
                confirmedFollowers);
    }

    FailoverState withProposed(long nowNanos) {
        return copy(
                fenced,
                OptionalLong.of(nowNanos),
                acknowledgementsStoppedNanos,
                commandSentNanos,
                confirmedFollowers);
    }

    FailoverState withAcknowledgementsStopped(long nowNanos) {
        return acknowledgementsStoppedNanos.isPresent()
                ? this
                : copy(
                        fenced,
                        proposedNanos,
                        OptionalLong.of(nowNanos),
                        commandSentNanos,
                        confirmedFollowers);
    }

    FailoverState withCommandSent(EndpointId endpoint, long nowNanos) {
        Map<EndpointId, Long> all = new HashMap<>(commandSentNanos);
        all.put(endpoint, nowNanos);
        return copy(fenced, proposedNanos, acknowledgementsStoppedNanos, all, confirmedFollowers);
    }

    FailoverState withFollower(EndpointId endpoint, boolean confirmed) {
        if (confirmedFollowers.contains(endpoint) == confirmed) {
            return this;
        }
        Set<EndpointId> all = new HashSet<>(confirmedFollowers);
        if (confirmed) {
            all.add(endpoint);
        } else {
            all.remove(endpoint);
        }
        return copy(fenced, proposedNanos, acknowledgementsStoppedNanos, commandSentNanos, all);
    }

    private FailoverState copy(
            Map<EndpointId, LogPosition> newFenced,
            OptionalLong newProposed,
            OptionalLong newAcknowledgementsStopped,
            Map<EndpointId, Long> newCommandSent,
            Set<EndpointId> newFollowers) {
        return new FailoverState(
                group,
                phase,
                term,
                phaseStartNanos,
                planned,
                newFenced,
                candidate,
                startIndex,
                newProposed,
                newAcknowledgementsStopped,
                newCommandSent,
                newFollowers);
    }
}
