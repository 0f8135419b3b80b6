package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.endpoints.AcknowledgementPolicy.Acknowledgement;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against acknowledging a write that ran in a superseded term or whose host has lost the
 * lease. The random schedules of {@link GroupCoordinatorTest} did not detect a missing term check.
 */
class AcknowledgementPolicyTest {
    @ParameterizedTest
    @CsvSource({
        // mode, term of the write, lease valid, acknowledgeable term, decision
        "PRIMARY, 3, true, 3, NOW",
        "PRIMARY, 3, true, 4, NEVER",
        "PRIMARY, 4, true, 3, NEVER",
        "PRIMARY, 3, true, 0, NEVER",
        "PRIMARY, 3, false, 3, NEVER",
        "DURABLE, 3, true, 3, WAIT",
        "DURABLE, 3, true, 4, NEVER",
        "DURABLE, 3, false, 3, NEVER"
    })
    void acknowledgesOnlyTheTermThatTheLeaseAllows(
            AcknowledgeMode mode,
            long runTerm,
            boolean leaseValid,
            long acknowledgeTerm,
            Acknowledgement expected) {
        AcknowledgementPolicy.Query query =
                new AcknowledgementPolicy.Query(
                        LogPosition.of(runTerm, 7),
                        runTerm,
                        leaseValid,
                        acknowledgeTerm,
                        List.of(),
                        TermHistory.EMPTY);
        assertEquals(expected, AcknowledgementPolicy.of(mode).decide(query));
    }
}
