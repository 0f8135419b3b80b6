package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.Decision;

/**
 * Coordinates the requests of one group at its leaseholder.
 *
 * <p>Immutable and thread-safe; each step is pure. A step that starts or ends one statement costs a
 * few map updates and one check of each workspace whose first request cannot start; a tick visits
 * all queued and running requests. Each request is answered exactly once.
 *
 * <p>A {@link DatabaseResult.Refused} with verdict "not run" and code UNAVAILABLE, MOVED or
 * OVERLOADED, for example because of a different term, causes a retry; any other refusal is
 * returned to the caller.
 */
public final class GroupCoordinator {
    private final GroupPolicies mPolicies;

    private GroupCoordinator(GroupPolicies policies) {
        mPolicies = Objects.requireNonNull(policies, "policies");
    }

    /** Creates a coordinator with the default policies. */
    public static GroupCoordinator standard() {
        return new GroupCoordinator(GroupPolicies.STANDARD);
    }

    /** Creates a coordinator with the given policies. */
    public static GroupCoordinator of(GroupPolicies policies) {
        return new GroupCoordinator(policies);
    }

    /**
     * Returns the next state and the resulting actions.
     *
     * @param state current state
     * @param input input to process
     * @param nowNanos current monotonic time
     */
    public Decision<GroupState, GroupAction> step(
            GroupState state, GroupInput input, long nowNanos) {
        GroupStep step = new GroupStep(mPolicies, state, nowNanos);
        if (input instanceof GroupInput.RequestArrived arrived) {
            GroupAdmission.handleRequest(step, arrived);
        } else if (input instanceof GroupInput.ResultReceived received) {
            GroupResults.handleResult(step, received);
        } else if (input instanceof GroupInput.ConnectionOpened opened) {
            GroupConnectionEvents.handleOpened(step, opened);
        } else if (input instanceof GroupInput.ConnectionFailed failed) {
            GroupConnectionEvents.handleFailed(step, failed);
        } else if (input instanceof GroupInput.TokensGranted granted) {
            GroupAdmission.handleGrant(step, granted.grant());
        } else if (input instanceof GroupInput.ViewChanged changed) {
            GroupLeaseChanges.handleView(step, changed.view());
        } else if (input instanceof GroupInput.Observed observed) {
            GroupConnectionEvents.handleObservation(step, observed.observation());
        } else if (input instanceof GroupInput.HandoverRequested) {
            GroupLeaseChanges.beginHandover(step);
        } else {
            GroupTimeouts.tick(step);
        }
        GroupDispatcher.run(step);
        GroupLeaseChanges.dropTermIfHeld(step);
        GroupLeaseChanges.releaseIfIdle(step);
        return step.decision();
    }
}
