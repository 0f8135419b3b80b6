package org.crocusturn.daemon.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ProposalReply;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a change that is confirmed or refused with the outcome of another one: attempts
 * are numbered from 1 in each process, and the reply to a process that has ended reaches the next
 * one of the host.
 */
class ForwardedChangesTest {
    private static final HostId LEADER = HostId.of("control-1");
    private static final long ATTEMPT = 1;

    static Stream<Arguments> otherOutcomes() {
        return Stream.of(1, 2)
                .flatMap(
                        repetitions ->
                                Stream.of(
                                        Arguments.of(accepted("other"), repetitions),
                                        Arguments.of(
                                                refused(
                                                        Failure.notRun(
                                                                ErrorCode.MALFORMED_REQUEST, "x")),
                                                repetitions),
                                        Arguments.of(
                                                refused(Failure.notRun(ErrorCode.UNAVAILABLE, "x")),
                                                repetitions),
                                        Arguments.of(
                                                refused(Failure.mayHaveRun("x")), repetitions)));
    }

    @ParameterizedTest
    @MethodSource("otherOutcomes")
    void usesOnlyTheOutcomeOfTheChange(ChangeOutcome other, int repetitions) throws Exception {
        ForwardedChanges changes = ForwardedChanges.create((leader, message) -> true);
        CompletableFuture<ProposalEvent.AttemptEnded> ended =
                changes.forward(LEADER, ATTEMPT, command("own")).orElseThrow();
        for (int i = 0; i < repetitions; i++) {
            changes.onReply(new ProposalReply(ATTEMPT, other));
            assertFalse(ended.isDone(), "ended with the outcome of another change");
        }
        changes.onReply(new ProposalReply(ATTEMPT, accepted("own")));
        assertEquals(
                new ProposalEvent.AttemptEnded(ATTEMPT, Optional.of(accepted("own")), false),
                ended.get(1, TimeUnit.SECONDS));
    }

    private static OperatorCommand command(String changeId) {
        return new ControlCommand.WithdrawKey(changeId, "key-1");
    }

    private static ChangeOutcome accepted(String changeId) {
        return new ChangeOutcome(changeId, 7, Optional.empty());
    }

    private static ChangeOutcome refused(Failure failure) {
        return new ChangeOutcome("other", 7, Optional.of(failure));
    }
}
