package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Function;
import org.crocusturn.core.callers.Access;
import org.crocusturn.core.callers.AdmissionPolicy;
import org.crocusturn.core.callers.QueueLimitAdmission;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.core.callers.WaitBudgetAdmission;
import org.crocusturn.core.operators.AcknowledgeMode;

/**
 * Holds the policies that a {@link GroupCoordinator} follows.
 *
 * @param arrival whether a request may start to wait
 * @param waiting whether a request that waits for a rate token may go on waiting
 * @param acknowledgement policy for each setting of a service
 * @param routing policy for each statement outside of transactions
 */
public record GroupPolicies(
        AdmissionPolicy arrival,
        AdmissionPolicy waiting,
        Function<AcknowledgeMode, AcknowledgementPolicy> acknowledgement,
        RoutingChoice routing) {
    /** A request waits for a rate token at most for this time. */
    public static final Duration TOKEN_BUDGET = Duration.ofSeconds(2);

    /** A read waits for a replica at most for this time. */
    public static final Duration REPLICA_BUDGET = Duration.ofMillis(20);

    /** The policies of the design. */
    public static final GroupPolicies STANDARD =
            new GroupPolicies(
                    QueueLimitAdmission.of(TOKEN_BUDGET),
                    WaitBudgetAdmission.of(TOKEN_BUDGET),
                    AcknowledgementPolicy::of,
                    GroupPolicies::standardRouting);

    private static final RoutingPolicy WRITE = PrimaryRouting.because("write");
    private static final RoutingPolicy NO_TOKEN = PrimaryRouting.because("read without token");
    private static final RoutingPolicy SESSION = SessionRouting.of(REPLICA_BUDGET);

    /** Checks that no part is null. */
    public GroupPolicies {
        Objects.requireNonNull(arrival, "arrival");
        Objects.requireNonNull(waiting, "waiting");
        Objects.requireNonNull(acknowledgement, "acknowledgement");
        Objects.requireNonNull(routing, "routing");
    }

    /** Chooses the routing policy of a statement. */
    @FunctionalInterface
    public interface RoutingChoice {
        /** Returns the policy for a statement. */
        RoutingPolicy choose(Statement statement, boolean hasToken, GroupView view);
    }

    private static RoutingPolicy standardRouting(
            Statement statement, boolean hasToken, GroupView view) {
        if (statement.access() == Access.WRITE) {
            return WRITE;
        }
        if (statement.maxAge().isPresent()) {
            return StatedAgeRouting.of(statement.maxAge().get());
        }
        return hasToken || view.replicaReadsWithoutToken() ? SESSION : NO_TOKEN;
    }

    /** Returns a copy with another acknowledgement policy. */
    public GroupPolicies withAcknowledgement(
            Function<AcknowledgeMode, AcknowledgementPolicy> policy) {
        return new GroupPolicies(arrival, waiting, policy, routing);
    }

    /** Returns a copy with another choice of routing policies. */
    public GroupPolicies withRouting(RoutingChoice choice) {
        return new GroupPolicies(arrival, waiting, acknowledgement, choice);
    }
}
