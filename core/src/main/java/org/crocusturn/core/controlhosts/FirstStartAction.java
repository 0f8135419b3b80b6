package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;

/** An action that the caller of {@link FirstStart} has to execute; actions run in order. */
public sealed interface FirstStartAction {
    /** Writes the ids to disk and syncs them before the next action. */
    record Save(FirstStartIds ids) implements FirstStartAction {
        /** Checks that the ids are not null. */
        public Save {
            Objects.requireNonNull(ids, "ids");
        }
    }

    /** Asks another control host. */
    record Ask(HostId to, FirstStartQuestion question) implements FirstStartAction {
        /** Checks that no part is null. */
        public Ask {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(question, "question");
        }
    }

    /** Answers another control host. */
    record Answer(HostId to, FirstStartAnswer answer) implements FirstStartAction {
        /** Checks that no part is null. */
        public Answer {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * Starts the consensus member; issued once.
     *
     * @param startsGroup whether the member starts a new group; otherwise it has to recover
     */
    record Start(boolean startsGroup) implements FirstStartAction {}
}
