package org.geraniumproxy.core.control;

import java.util.List;

/**
 * Result of applying an event: the next state and the effects that adapters carry out.
 *
 * @param state next state
 * @param effects effects in the order in which adapters start them
 * @param <S> type of the state
 * @param <E> type of the effects
 */
public record Transition<S, E>(S state, List<E> effects) {
    /** Copies the effects. */
    public Transition {
        effects = List.copyOf(effects);
    }

    /**
     * Returns a transition without effects.
     *
     * @param state next state
     * @param <S> type of the state
     * @param <E> type of the effects
     * @return the transition
     */
    public static <S, E> Transition<S, E> to(S state) {
        return new Transition<>(state, List.of());
    }

    /**
     * Returns a transition with effects.
     *
     * @param state next state
     * @param effects effects in the order in which adapters start them
     * @param <S> type of the state
     * @param <E> type of the effects
     * @return the transition
     */
    public static <S, E> Transition<S, E> to(S state, List<E> effects) {
        return new Transition<>(state, effects);
    }
}
