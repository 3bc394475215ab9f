package org.geraniumproxy.core.control;

import java.util.List;

/**
 * Result of a decision: the next state and the effects that an adapter carries out.
 *
 * @param state the next state
 * @param effects the effects in the order in which they are to be started
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
     * @param state the next state
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
     * @param state the next state
     * @param effects the effects in order
     * @param <S> type of the state
     * @param <E> type of the effects
     * @return the transition
     */
    public static <S, E> Transition<S, E> to(S state, List<E> effects) {
        return new Transition<>(state, effects);
    }
}
