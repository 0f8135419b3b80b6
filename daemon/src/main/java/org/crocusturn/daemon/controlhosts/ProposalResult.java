package org.crocusturn.daemon.controlhosts;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.Verdict;

/** The result of a proposal. */
public sealed interface ProposalResult {
    /** Returns whether the command may have been applied. */
    Verdict verdict();

    /** The command was committed and applied at an index of the log. */
    record Committed(long index) implements ProposalResult {
        @Override
        public Verdict verdict() {
            return Verdict.RAN;
        }
    }

    /** The command was not appended and never will be. */
    record Rejected(String reason, Optional<HostId> leader) implements ProposalResult {
        /** Checks that no part is null. */
        public Rejected {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(leader, "leader");
        }

        @Override
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }
    }

    /** The leadership was lost or the host stopped before the command was known to be committed. */
    record Unknown() implements ProposalResult {
        @Override
        public Verdict verdict() {
            return Verdict.MAY_HAVE_RUN;
        }
    }
}
