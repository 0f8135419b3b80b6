package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.Decision;

/**
 * Decides what the leaseholder of one group does.
 *
 * <p>Immutable and thread-safe; each step is pure. A step that starts or ends one statement costs a
 * few map updates and one look at each workspace whose first request cannot start; a tick looks at
 * everything that waits or runs. A request is answered exactly once.
 *
 * <p>A result {@link DatabaseResult.Refused} with verdict "not run" and code UNAVAILABLE, MOVED or
 * OVERLOADED (such as another term) makes the work wait and run again; any other refusal is the
 * answer to the caller.
 */
public final class GroupCoordinator {
    private final GroupPolicies mPolicies;

    private GroupCoordinator(GroupPolicies policies) {
        mPolicies = Objects.requireNonNull(policies, "policies");
    }

    /** Creates a coordinator with the policies of the design. */
    public static GroupCoordinator standard() {
        return new GroupCoordinator(GroupPolicies.STANDARD);
    }

    /** Creates a coordinator with other policies. */
    public static GroupCoordinator of(GroupPolicies policies) {
        return new GroupCoordinator(policies);
    }

    /**
     * Returns the state and the actions after an input.
     *
     * @param state state before
     * @param input what happened
     * @param nowNanos current monotonic time
     */
    public Decision<GroupState, GroupAction> step(
            GroupState state, GroupInput input, long nowNanos) {
        GroupStep step = new GroupStep(mPolicies, state, nowNanos);
        if (input instanceof GroupInput.RequestArrived arrived) {
            GroupArrivals.arrive(step, arrived);
        } else if (input instanceof GroupInput.ResultReceived received) {
            GroupResults.receive(step, received);
        } else if (input instanceof GroupInput.ConnectionOpened opened) {
            GroupLinks.opened(step, opened);
        } else if (input instanceof GroupInput.ConnectionFailed failed) {
            GroupLinks.failed(step, failed);
        } else if (input instanceof GroupInput.TokensGranted granted) {
            GroupArrivals.granted(step, granted.grant());
        } else if (input instanceof GroupInput.ViewChanged changed) {
            GroupLease.viewChanged(step, changed.view());
        } else if (input instanceof GroupInput.Observed observed) {
            GroupLinks.observed(step, observed.observation());
        } else if (input instanceof GroupInput.HandoverRequested) {
            GroupLease.beginHandover(step);
        } else {
            GroupTimes.tick(step);
        }
        GroupDispatch.run(step);
        GroupLease.dropIfHeld(step);
        GroupLease.releaseIfDone(step);
        return step.decision();
    }
}
