package org.crocusturn.core.endpoints;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;
import org.crocusturn.core.LogPosition;

/**
 * Matches the answers of one connection to an endpoint with the commands sent on it. Immutable.
 *
 * <p>Answers name no command, and an endpoint may repeat any earlier answer of the connection at
 * any time. It is assumed that an endpoint answers each command, in their order; that a repeated
 * answer equals the first one; that a signature belongs to one run; and that a rollback does not
 * fail. Then an answer that the connection has not delivered before is new, and one that it has
 * delivered may be new only if the endpoint could give the same answer twice: an error, or a
 * success without a signature in the same state at the same log position.
 */
public final class AnswerMatcher {
    private static final AnswerMatcher START =
            new AnswerMatcher(
                    AnswerHistory.empty(),
                    List.of(),
                    List.of(),
                    SessionResult.State.IDLE,
                    LogPosition.ZERO);

    private final AnswerHistory mHistory;

    /** Commands without an answer, the oldest first. */
    private final List<Sent> mOutstanding;

    /** Commands that an uncertain answer ended, and whose own answer may still arrive. */
    private final List<Sent> mDoubtful;

    private final SessionResult.State mState;
    private final LogPosition mNewest;

    private AnswerMatcher(
            AnswerHistory history,
            List<Sent> outstanding,
            List<Sent> doubtful,
            SessionResult.State state,
            LogPosition newest) {
        mHistory = history;
        mOutstanding = outstanding;
        mDoubtful = doubtful;
        mState = state;
        mNewest = newest;
    }

    /**
     * A command and the state of the connection when it was sent; empty if that depends on commands
     * without a certain answer.
     */
    private record Sent(SessionCommand command, Optional<SessionResult.State> state) {
        Sent {
            Objects.requireNonNull(command, "command");
            Objects.requireNonNull(state, "state");
        }

        /** Returns whether an answer can be that of this command. */
        boolean fits(EndpointAnswer answer) {
            if (answer.error().isPresent() && !answer.isSigned()) {
                // A transaction that cannot be committed can still be rolled back.
                return !(command instanceof SessionCommand.Rollback);
            }
            if (command instanceof SessionCommand.Run || answer.isSigned()) {
                return command instanceof SessionCommand.Run && answer.isSigned();
            }
            if (isStatusCommand(command)) {
                return true;
            }
            return answer.rows().isEmpty()
                    && stateAfter().filter(s -> s != answer.state()).isEmpty();
        }

        /** Returns the state after the command if it succeeds; empty if it is not known. */
        Optional<SessionResult.State> stateAfter() {
            if (command instanceof SessionCommand.Begin) {
                return Optional.of(SessionResult.State.TRANSACTION);
            }
            if (command instanceof SessionCommand.Rollback) {
                return Optional.of(SessionResult.State.IDLE);
            }
            return command instanceof SessionCommand.Run ? Optional.empty() : state;
        }

        private static boolean isStatusCommand(SessionCommand command) {
            return command instanceof SessionCommand.GetStatus
                    || command instanceof SessionCommand.PauseReplication
                    || command instanceof SessionCommand.ResumeReplication
                    || command instanceof SessionCommand.StepDown;
        }
    }

    /** Returns the matcher of a connection that has been opened and has delivered no answer. */
    public static AnswerMatcher start() {
        return START;
    }

    /** Returns whether all commands are answered. */
    public boolean isIdle() {
        return mOutstanding.isEmpty();
    }

    /** Returns the oldest command without an answer. */
    public Optional<SessionCommand> outstanding() {
        return head().map(Sent::command);
    }

    private Optional<Sent> head() {
        return mOutstanding.stream().findFirst();
    }

    /** Returns the matcher after a command was sent. */
    public AnswerMatcher withSent(SessionCommand command) {
        List<Sent> outstanding = new ArrayList<>(mOutstanding);
        outstanding.add(new Sent(command, expectedState()));
        return new AnswerMatcher(mHistory, List.copyOf(outstanding), mDoubtful, mState, mNewest);
    }

    /** Returns the state of the connection once all commands are answered. */
    private Optional<SessionResult.State> expectedState() {
        if (!isIdle()) {
            return mOutstanding.get(mOutstanding.size() - 1).stateAfter();
        }
        return mDoubtful.isEmpty() ? Optional.of(mState) : Optional.empty();
    }

    /**
     * Matches an answer with the oldest outstanding command.
     *
     * @param answer complete answer
     * @param beganEarlier whether its first bytes arrived before that command was sent
     */
    public AnswerMatch match(EndpointAnswer answer, boolean beganEarlier) {
        boolean seen = mHistory.contains(answer);
        boolean fits = !beganEarlier && head().filter(sent -> sent.fits(answer)).isPresent();
        if (!fits) {
            return seen || fitsDoubtful(answer) ? AnswerMatch.EARLIER : AnswerMatch.FOREIGN;
        }
        if (answer.isSigned()) {
            return seen ? AnswerMatch.EARLIER : AnswerMatch.OWN;
        }
        // An answer that is lost at first and arrives late is new, but older than later ones.
        boolean older = answer.position().filter(p -> p.compareTo(mNewest) < 0).isPresent();
        return seen || older || fitsDoubtful(answer) ? AnswerMatch.UNCERTAIN : AnswerMatch.OWN;
    }

    private boolean fitsDoubtful(EndpointAnswer answer) {
        return mDoubtful.stream().anyMatch(sent -> sent.fits(answer));
    }

    /**
     * Returns the matcher after an answer. Only a statement is still outstanding after an uncertain
     * answer, which is an error then.
     */
    public AnswerMatcher withAnswer(EndpointAnswer answer, boolean beganEarlier) {
        return switch (match(answer, beganEarlier)) {
            // Endpoints answer in order, so the answers to all earlier commands have arrived.
            case OWN -> next(answer, rest(), List.of(), answer.state());
            case UNCERTAIN ->
                    outstanding().filter(SessionCommand.Run.class::isInstance).isPresent()
                            ? next(answer, mOutstanding, mDoubtful, mState)
                            : next(answer, rest(), withDoubtful(), answer.state());
            case EARLIER ->
                    mHistory.contains(answer)
                            ? next(answer, mOutstanding, mDoubtful, mState)
                            : next(answer, mOutstanding, withoutDoubtful(answer), answer.state());
            case FOREIGN -> this;
        };
    }

    private AnswerMatcher next(
            EndpointAnswer answer,
            List<Sent> outstanding,
            List<Sent> doubtful,
            SessionResult.State state) {
        return new AnswerMatcher(
                mHistory.with(answer),
                outstanding,
                doubtful,
                state,
                answer.position().map(mNewest::max).orElse(mNewest));
    }

    private List<Sent> rest() {
        return mOutstanding.subList(1, mOutstanding.size());
    }

    private List<Sent> withDoubtful() {
        List<Sent> doubtful = new ArrayList<>(mDoubtful);
        head().ifPresent(doubtful::add);
        return List.copyOf(doubtful);
    }

    /** Returns the doubtful commands after the one that a new answer belongs to. */
    private List<Sent> withoutDoubtful(EndpointAnswer answer) {
        int index =
                IntStream.range(0, mDoubtful.size())
                        .filter(i -> mDoubtful.get(i).fits(answer))
                        .findFirst()
                        .orElse(-1);
        return mDoubtful.subList(index + 1, mDoubtful.size());
    }
}
