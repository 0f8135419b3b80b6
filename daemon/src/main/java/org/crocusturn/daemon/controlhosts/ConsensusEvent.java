package org.crocusturn.daemon.controlhosts;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.controlhosts.ConsensusInput;

/** An event of {@link ConsensusDuty}. */
public sealed interface ConsensusEvent {
    /** All duties of the member have been created, so it can start to take part. */
    record Started() implements ConsensusEvent {}

    /** An input that is passed to the consensus decisions unchanged. */
    record Input(ConsensusInput input) implements ConsensusEvent {
        /** Checks that the input is not null. */
        public Input {
            Objects.requireNonNull(input, "input");
        }
    }

    /**
     * A request to transfer the leadership.
     *
     * @param done completed when this host is not the leader or no other member can take over
     */
    record TransferRequested(CompletableFuture<Void> done) implements ConsensusEvent {
        /** Checks that the future is not null. */
        public TransferRequested {
            Objects.requireNonNull(done, "done");
        }
    }

    /** A write to the storage failed, or a duty of the member did. */
    record StorageFailed(RuntimeException failure) implements ConsensusEvent {
        /** Checks that the failure is not null. */
        public StorageFailed {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
