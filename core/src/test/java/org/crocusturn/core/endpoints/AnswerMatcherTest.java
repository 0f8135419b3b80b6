package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.PreparedShape;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against an answer that is taken for that of another command when an endpoint repeats
 * answers, in all orders of a few commands, their answers and the repetitions.
 */
class AnswerMatcherTest {
    private static final SessionResult.State IDLE = SessionResult.State.IDLE;
    private static final SessionResult.State OPEN = SessionResult.State.TRANSACTION;
    private static final SessionResult.State FAILED = SessionResult.State.FAILED;

    private static final SessionCommand SET = new SessionCommand.SetValue("a", "1");
    private static final SessionCommand PREPARE =
            new SessionCommand.Prepare("c1", new PreparedShape(false, "q"));
    private static final SessionCommand BEGIN = new SessionCommand.Begin(false, Optional.empty());
    private static final SessionCommand ROLLBACK = new SessionCommand.Rollback();
    private static final SessionCommand STATUS = new SessionCommand.GetStatus();
    private static final SessionCommand READ = run(StatementKind.READ);
    private static final SessionCommand WRITE = run(StatementKind.WRITE);
    private static final SessionCommand COMMIT = run(StatementKind.COMMIT);

    private static SessionCommand run(StatementKind kind) {
        return new SessionCommand.Run(
                new SessionStatement("1", kind, "", "", kind.name()),
                Optional.empty(),
                Optional.empty());
    }

    /** A command in a state, and how an endpoint answers it. */
    private record Exchange(
            SessionCommand command,
            SessionResult.State before,
            SessionResult.State after,
            Optional<EndpointError> error) {
        static Exchange done(
                SessionCommand command, SessionResult.State before, SessionResult.State after) {
            return new Exchange(command, before, after, Optional.empty());
        }

        static Exchange failed(
                SessionCommand command,
                SessionResult.State before,
                SessionResult.State after,
                EndpointError error) {
            return new Exchange(command, before, after, Optional.of(error));
        }

        boolean isSigned() {
            return command instanceof SessionCommand.Run && error.isEmpty();
        }

        /** Returns the answer; only the signature is certain to differ from other answers. */
        EndpointAnswer answer(int number, long index) {
            boolean status = error.isEmpty() && command instanceof SessionCommand.GetStatus;
            return new EndpointAnswer(
                    status ? List.of("primary 3 3." + index + " 0 0 0 4") : List.of(),
                    isSigned() ? "signature " + number : "",
                    error,
                    error.map(EndpointError::name).orElse(""),
                    after,
                    Optional.of(LogPosition.of(3, index)));
        }
    }

    private static final List<Exchange> EXCHANGES =
            List.of(
                    Exchange.done(SET, IDLE, IDLE),
                    Exchange.failed(SET, IDLE, IDLE, EndpointError.OVERLOADED),
                    Exchange.done(PREPARE, IDLE, IDLE),
                    Exchange.done(PREPARE, OPEN, OPEN),
                    Exchange.done(new SessionCommand.Reset(), IDLE, IDLE),
                    Exchange.done(BEGIN, IDLE, OPEN),
                    Exchange.failed(BEGIN, IDLE, IDLE, EndpointError.OVERLOADED),
                    Exchange.done(ROLLBACK, OPEN, IDLE),
                    Exchange.done(ROLLBACK, FAILED, IDLE),
                    Exchange.done(STATUS, IDLE, IDLE),
                    Exchange.failed(STATUS, IDLE, IDLE, EndpointError.OVERLOADED),
                    Exchange.done(new SessionCommand.PauseReplication(4), IDLE, IDLE),
                    Exchange.done(READ, IDLE, IDLE),
                    Exchange.done(READ, OPEN, OPEN),
                    Exchange.failed(READ, IDLE, IDLE, EndpointError.LAGGING),
                    Exchange.failed(READ, OPEN, FAILED, EndpointError.READ_ONLY),
                    Exchange.done(WRITE, IDLE, IDLE),
                    Exchange.done(WRITE, OPEN, OPEN),
                    Exchange.failed(WRITE, IDLE, IDLE, EndpointError.OVERLOADED),
                    Exchange.failed(WRITE, IDLE, IDLE, EndpointError.FAILED),
                    Exchange.failed(WRITE, OPEN, OPEN, EndpointError.OVERLOADED),
                    Exchange.done(COMMIT, OPEN, IDLE),
                    Exchange.failed(COMMIT, OPEN, OPEN, EndpointError.OVERLOADED));

    /** Returns all sequences of exchanges, each of which starts in the state after the last. */
    private static Stream<List<Exchange>> scripts(int length, SessionResult.State state) {
        if (length == 0) {
            return Stream.of(List.of());
        }
        return EXCHANGES.stream()
                .filter(exchange -> exchange.before() == state)
                .flatMap(
                        first ->
                                scripts(length - 1, first.after())
                                        .map(
                                                rest ->
                                                        Stream.concat(
                                                                        Stream.of(first),
                                                                        rest.stream())
                                                                .toList()));
    }

    /** The part of a run that has happened; answers are numbered as their commands. */
    private record Progress(AnswerMatcher matcher, int sent, int answered, int repetitions) {}

    /** Plays all orders of the answers to a script. */
    private static final class Play {
        private final List<Exchange> mScript;
        private final List<EndpointAnswer> mAnswers;

        Play(List<Exchange> script, boolean logAdvances) {
            mScript = script;
            mAnswers =
                    IntStream.range(0, script.size())
                            .mapToObj(i -> script.get(i).answer(i, logAdvances ? 10 + i : 10))
                            .toList();
        }

        /** Continues a run in all ways and returns the number of runs. */
        long play(Progress progress) {
            boolean sends = progress.matcher().isIdle() && progress.sent() < mScript.size();
            long runs = sends ? play(send(progress)) : 0;
            // While a command can be sent, answers may arrive on the idle connection before.
            if (progress.answered() < progress.sent()) {
                runs += play(answer(progress));
            }
            if (progress.repetitions() > 0) {
                runs +=
                        IntStream.range(0, progress.answered())
                                .mapToLong(i -> play(repeat(progress, i)))
                                .sum();
            }
            return Math.max(runs, 1);
        }

        private Progress send(Progress progress) {
            return new Progress(
                    progress.matcher().withSent(mScript.get(progress.sent()).command()),
                    progress.sent() + 1,
                    progress.answered(),
                    progress.repetitions());
        }

        private Progress answer(Progress progress) {
            int number = progress.answered();
            EndpointAnswer answer = mAnswers.get(number);
            AnswerMatch match = progress.matcher().match(answer, false);
            boolean outstanding = isOutstanding(progress, number);
            assertNotEquals(AnswerMatch.FOREIGN, match, () -> describe(number));
            assertTrue(match != AnswerMatch.OWN || outstanding, () -> describe(number));
            if (mScript.get(number).isSigned()) {
                assertEquals(AnswerMatch.OWN, match, () -> describe(number));
            }
            return new Progress(
                    progress.matcher().withAnswer(answer, false),
                    progress.sent(),
                    number + 1,
                    progress.repetitions());
        }

        private Progress repeat(Progress progress, int number) {
            EndpointAnswer answer = mAnswers.get(number);
            AnswerMatch match = progress.matcher().match(answer, false);
            assertNotEquals(AnswerMatch.FOREIGN, match, () -> describe(number));
            assertNotEquals(AnswerMatch.OWN, match, () -> describe(number));
            return new Progress(
                    progress.matcher().withAnswer(answer, false),
                    progress.sent(),
                    progress.answered(),
                    progress.repetitions() - 1);
        }

        private static boolean isOutstanding(Progress progress, int number) {
            return !progress.matcher().isIdle() && number == progress.sent() - 1;
        }

        private String describe(int number) {
            return "answer " + number + " of " + mScript;
        }
    }

    @ParameterizedTest
    @CsvSource({"2, 3, true", "2, 3, false", "3, 2, true", "3, 2, false", "4, 1, false"})
    void takesNoAnswerForThatOfAnotherCommand(int commands, int repetitions, boolean logAdvances) {
        long runs =
                scripts(commands, IDLE)
                        .mapToLong(
                                script ->
                                        new Play(script, logAdvances)
                                                .play(
                                                        new Progress(
                                                                AnswerMatcher.start(),
                                                                0,
                                                                0,
                                                                repetitions)))
                        .sum();
        assertTrue(runs > 1_000, () -> "only " + runs + " runs");
    }

    private static Stream<Arguments> idleExchanges() {
        return EXCHANGES.stream().filter(e -> e.before() == IDLE).map(Arguments::of);
    }

    /** Guards against a service that stops: the next answer at a higher position is certain. */
    @ParameterizedTest
    @MethodSource("idleExchanges")
    void tellsAnswersApartByPosition(Exchange exchange) {
        EndpointAnswer first = exchange.answer(1, 10);
        AnswerMatcher matcher =
                AnswerMatcher.start().withSent(exchange.command()).withAnswer(first, false);
        if (exchange.after() == OPEN) {
            EndpointAnswer end = Exchange.done(ROLLBACK, OPEN, IDLE).answer(2, 10);
            matcher = matcher.withSent(ROLLBACK).withAnswer(end, false);
        }
        matcher = matcher.withSent(exchange.command());
        assertEquals(
                exchange.isSigned() ? AnswerMatch.EARLIER : AnswerMatch.UNCERTAIN,
                matcher.match(first, false));
        assertEquals(AnswerMatch.OWN, matcher.match(exchange.answer(3, 11), false));
    }

    /** Guards against rows of a cut answer that are joined with those of the next one. */
    @ParameterizedTest
    @CsvSource({"signature 1, FOREIGN", "signature 0, EARLIER"})
    void rejectsAnswerThatBeganBeforeItsCommand(String signature, AnswerMatch expected) {
        EndpointAnswer first = Exchange.done(READ, IDLE, IDLE).answer(0, 10);
        AnswerMatcher matcher =
                AnswerMatcher.start().withSent(READ).withAnswer(first, false).withSent(READ);
        EndpointAnswer next =
                new EndpointAnswer(
                        List.of("rest"), signature, Optional.empty(), "", IDLE, first.position());
        assertEquals(expected, matcher.match(next, true));
    }
}
