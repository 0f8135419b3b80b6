package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;

/** Is something that a first start asks its owner to do; actions have to be done in order. */
public sealed interface FirstStartAction {
    /** Puts the numbers on disk and syncs them before the next action. */
    record Save(FirstStartIds ids) implements FirstStartAction {
        /** Checks that the numbers are not null. */
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
     * Starts the member; happens once.
     *
     * @param first whether it starts a group; if not, it has to recover
     */
    record Start(boolean first) implements FirstStartAction {}
}
