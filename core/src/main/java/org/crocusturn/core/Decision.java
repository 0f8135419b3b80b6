package org.crocusturn.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Is the result of one pure decision step.
 *
 * @param state state after the step
 * @param actions what the caller of the step has to do, in order
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

    /** Returns a decision with the state of the later one and the actions of both, in order. */
    public Decision<S, A> then(Decision<S, A> later) {
        List<A> all = new ArrayList<>(actions);
        all.addAll(later.actions());
        return new Decision<>(later.state(), all);
    }
}
