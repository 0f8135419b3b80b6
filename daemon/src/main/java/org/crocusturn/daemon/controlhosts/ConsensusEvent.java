package org.crocusturn.daemon.controlhosts;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.controlhosts.ConsensusInput;

/** Is what the consensus duty reacts to. */
public sealed interface ConsensusEvent {
    /** All duties are connected, so the member may begin. */
    record Started() implements ConsensusEvent {}

    /** Something that the decision handles by itself. */
    record Input(ConsensusInput input) implements ConsensusEvent {
        /** Checks that the input is not null. */
        public Input {
            Objects.requireNonNull(input, "input");
        }
    }

    /** Leadership should be handed over; the future ends when this host does not lead. */
    record TransferRequested(CompletableFuture<Void> done) implements ConsensusEvent {
        /** Checks that the future is not null. */
        public TransferRequested {
            Objects.requireNonNull(done, "done");
        }
    }

    /** The storage failed. */
    record StorageFailed(RuntimeException failure) implements ConsensusEvent {
        /** Checks that the failure is not null. */
        public StorageFailed {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
