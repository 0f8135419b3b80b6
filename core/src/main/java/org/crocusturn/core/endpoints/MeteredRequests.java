package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.RouteCheck;
import org.crocusturn.core.callers.TransactionStep;

/** Decides which of the statements sent to endpoints count as requests of a workspace. */
public final class MeteredRequests {
    /** Counts an operation: a statement outside transactions or the first one of a transaction. */
    public static final Unit OPERATIONS = step -> step != TransactionStep.CONTINUE;

    /** Counts each statement. */
    public static final Unit STATEMENTS = step -> true;

    /** Unit of usage reports, the same as that of rates. */
    private static final MeteredRequests REPORTED = new MeteredRequests(OPERATIONS);

    private final Unit mUnit;

    private MeteredRequests(Unit unit) {
        mUnit = unit;
    }

    /** Unit in which requests are counted. */
    @FunctionalInterface
    public interface Unit {
        /** Returns whether a statement with this relation to a transaction is a new request. */
        boolean includes(TransactionStep step);
    }

    /** Returns the rule for usage reports. */
    public static MeteredRequests reported() {
        return REPORTED;
    }

    /** Returns the rule for a unit. */
    public static MeteredRequests of(Unit unit) {
        return new MeteredRequests(Objects.requireNonNull(unit, "unit"));
    }

    /**
     * Returns whether a statement counts. Callers without a key belong to no workspace.
     *
     * @param workspace workspace of the statement
     * @param step relation of the statement to a transaction
     * @param error error of the endpoint; empty if the statement succeeded or got no answer
     */
    public boolean isCounted(
            WorkspaceId workspace, TransactionStep step, Optional<EndpointError> error) {
        return mUnit.includes(step)
                && !workspace.equals(RouteCheck.ANONYMOUS)
                && (error.isEmpty() || error.get().verdict() != Verdict.NOT_RUN);
    }
}
