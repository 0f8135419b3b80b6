package org.crocusturn.core.operators;

import java.util.List;
import java.util.Objects;

/**
 * Is a database service as an operator declares it.
 *
 * @param name name of the service
 * @param databases names of its databases; each is a group with one copy on each instance
 * @param instances number of instances that are expected to announce themselves
 * @param slots statements that one database may run at once, across the fleet
 * @param connections connections that one database accepts, across the fleet
 * @param acknowledge when a write is acknowledged
 * @param replicaReadsWithoutToken whether a read without a session token may go to a replica
 * @param promotion who moves the primary
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
    /** Name of the only database of a service whose copies are replicated as a whole. */
    public static final String WHOLE = "all";

    /** Copies the databases. */
    public Service {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(acknowledge, "acknowledge");
        Objects.requireNonNull(promotion, "promotion");
        databases = List.copyOf(databases);
    }

    /** Creates a service whose primaries the control leader moves. */
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
