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
 * Policies of a {@link GroupCoordinator}.
 *
 * @param arrivalAdmission decides whether an arriving request is queued
 * @param queuedAdmission decides whether a queued request may keep waiting for a rate token
 * @param acknowledgement acknowledgement policy for each acknowledgement mode
 * @param routing routing policy for each statement outside of transactions
 */
public record GroupPolicies(
        AdmissionPolicy arrivalAdmission,
        AdmissionPolicy queuedAdmission,
        Function<AcknowledgeMode, AcknowledgementPolicy> acknowledgement,
        RoutingChoice routing) {
    /** Maximum time that a request waits for a rate token. */
    public static final Duration MAX_TOKEN_WAIT = Duration.ofSeconds(2);

    /** Maximum time that a read waits for a replica. */
    public static final Duration MAX_REPLICA_WAIT = Duration.ofMillis(20);

    /** The default policies. */
    public static final GroupPolicies STANDARD =
            new GroupPolicies(
                    QueueLimitAdmission.of(MAX_TOKEN_WAIT),
                    WaitBudgetAdmission.of(MAX_TOKEN_WAIT),
                    AcknowledgementPolicy::of,
                    GroupPolicies::standardRouting);

    private static final RoutingPolicy WRITE = PrimaryRouting.withReason("write");
    private static final RoutingPolicy NO_TOKEN = PrimaryRouting.withReason("read without token");
    private static final RoutingPolicy SESSION = SessionRouting.of(MAX_REPLICA_WAIT);

    /** Rejects null components. */
    public GroupPolicies {
        Objects.requireNonNull(arrivalAdmission, "arrivalAdmission");
        Objects.requireNonNull(queuedAdmission, "queuedAdmission");
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

    /** Returns a copy with a different acknowledgement policy. */
    public GroupPolicies withAcknowledgement(
            Function<AcknowledgeMode, AcknowledgementPolicy> policy) {
        return new GroupPolicies(arrivalAdmission, queuedAdmission, policy, routing);
    }

    /** Returns a copy with a different choice of routing policies. */
    public GroupPolicies withRouting(RoutingChoice choice) {
        return new GroupPolicies(arrivalAdmission, queuedAdmission, acknowledgement, choice);
    }
}
