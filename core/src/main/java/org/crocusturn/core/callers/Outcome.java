package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.Failure;

/** The outcome of an operation: an answer, or a failure with a verdict. */
public sealed interface Outcome {
    /** The operation ran and its answer is complete. */
    record Answered(GroupAnswer answer) implements Outcome {
        /** Checks that the answer is not null. */
        public Answered {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /** The operation was rejected or failed. */
    record Failed(Failure failure) implements Outcome {
        /** Checks that the failure is not null. */
        public Failed {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
