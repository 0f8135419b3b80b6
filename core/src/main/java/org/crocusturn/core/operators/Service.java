package org.crocusturn.core.operators;

import java.util.List;
import java.util.Objects;

/**
 * A database service, as declared by an operator.
 *
 * @param name name of the service
 * @param databases names of the databases; each database is a group with one copy on each instance
 * @param instances expected number of instances, which announce themselves
 * @param slots number of statements that one database may run concurrently, in total for all hosts
 * @param connections number of connections that one database accepts, in total for all hosts
 * @param acknowledge when a write is acknowledged
 * @param replicaReadsWithoutToken whether a read without a session token may go to a replica
 * @param promotion which host promotes the primaries
 */
public record Service(
        String name,
        List<String> databases,
        int instances,
        int slots,
        int connections,
        AcknowledgeMode acknowledge,
        boolean replicaReadsWithoutToken,
        PromotionMode promotion) {
    /** Name of the only database of a service whose instances are replicated as a whole. */
    public static final String SINGLE_DATABASE = "all";

    /** Copies the databases. */
    public Service {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(acknowledge, "acknowledge");
        Objects.requireNonNull(promotion, "promotion");
        databases = List.copyOf(databases);
    }

    /** Creates a service whose primaries are promoted by the control leader. */
    public Service(
            String name,
            List<String> databases,
            int instances,
            int slots,
            int connections,
            AcknowledgeMode acknowledge,
            boolean replicaReadsWithoutToken) {
        this(
                name,
                databases,
                instances,
                slots,
                connections,
                acknowledge,
                replicaReadsWithoutToken,
                PromotionMode.CONTROL_LEADER);
    }
}
