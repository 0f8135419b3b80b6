package org.crocusturn.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The result of one pure decision step.
 *
 * @param state state after the step
 * @param actions actions for the caller of the step to run, in order
 * @param <S> type of the state
 * @param <A> type of the actions
 */
public record Decision<S, A>(S state, List<A> actions) {
    /** Copies the actions. */
    public Decision {
        Objects.requireNonNull(state, "state");
        actions = List.copyOf(actions);
    }

    /** Creates a decision without actions. */
    public static <S, A> Decision<S, A> of(S state) {
        return new Decision<>(state, List.of());
    }

    /** Creates a decision with one action. */
    public static <S, A> Decision<S, A> of(S state, A action) {
        return new Decision<>(state, List.of(action));
    }

    /**
     * Returns a decision with the state of the later decision and the actions of both, this one's
     * first.
     */
    public Decision<S, A> then(Decision<S, A> later) {
        List<A> combined = new ArrayList<>(actions);
        combined.addAll(later.actions());
        return new Decision<>(later.state(), combined);
    }
}
