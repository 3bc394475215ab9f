package org.geraniumproxy.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous (highest random weight) hashing: ranks candidates for a key such that all VMs agree and adding or removing
 * a candidate does not reorder the others. The hash is a fixed function of the names, identical in every process and
 * release.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /**
     * Ranks candidates for a key, the highest score first.
     *
     * @param key the key
     * @param candidates the candidates
     * @param nameOf returns the unique name of a candidate
     * @param <T> type of the candidates
     * @return the candidates in rank order
     */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> nameOf) {
        // Computes each score once, because sorting 6,400 VMs takes about 80,000 comparisons.
        List<Scored<T>> scored = score(key, candidates, nameOf);
        scored.sort(null);
        return candidatesOf(scored);
    }

    /**
     * Returns the first candidates of the ranking. Costs one score for each candidate and no sorting.
     *
     * @param key the key
     * @param candidates the candidates
     * @param nameOf returns the unique name of a candidate
     * @param count maximum number of candidates to return
     * @param <T> type of the candidates
     * @return the candidates with the highest scores in rank order
     */
    public static <T> List<T> first(String key, Collection<T> candidates, Function<T, String> nameOf, int count) {
        if (count >= candidates.size()) {
            return rank(key, candidates, nameOf);
        }
        List<Scored<T>> best = new ArrayList<>(count + 1);
        for (Scored<T> scored : score(key, candidates, nameOf)) {
            insert(best, scored, count);
        }
        return candidatesOf(best);
    }

    /**
     * Inserts candidates into a ranking. Costs one score for each candidate of both lists.
     *
     * @param key the key
     * @param ranked candidates in rank order
     * @param added further candidates
     * @param nameOf returns the unique name of a candidate
     * @param <T> type of the candidates
     * @return all candidates in rank order
     */
    public static <T> List<T> insert(String key, List<T> ranked, Collection<T> added, Function<T, String> nameOf) {
        if (added.isEmpty()) {
            return ranked;
        }
        List<Scored<T>> merged = score(key, ranked, nameOf);
        for (Scored<T> scored : score(key, added, nameOf)) {
            insert(merged, scored, Integer.MAX_VALUE);
        }
        return candidatesOf(merged);
    }

    private static <T> void insert(List<Scored<T>> sorted, Scored<T> scored, int count) {
        if (sorted.size() >= count && sorted.getLast().compareTo(scored) <= 0) {
            return;
        }
        int position = Collections.binarySearch(sorted, scored);
        sorted.add(position < 0 ? -position - 1 : position, scored);
        if (sorted.size() > count) {
            sorted.removeLast();
        }
    }

    private static <T> List<Scored<T>> score(String key, Collection<T> candidates, Function<T, String> nameOf) {
        long keyHash = hash(key);
        List<Scored<T>> scored = new ArrayList<>(candidates.size());
        for (T candidate : candidates) {
            String name = nameOf.apply(candidate);
            scored.add(new Scored<>(score(keyHash, name), name, candidate));
        }
        return scored;
    }

    private static <T> List<T> candidatesOf(List<Scored<T>> scored) {
        List<T> candidates = new ArrayList<>(scored.size());
        for (Scored<T> entry : scored) {
            candidates.add(entry.candidate());
        }
        return List.copyOf(candidates);
    }

    /**
     * Returns the score of a candidate for a key, an unsigned 64-bit number.
     *
     * @param key the key
     * @param candidate the name of the candidate
     * @return the score
     */
    public static long score(String key, String candidate) {
        return score(hash(key), candidate);
    }

    private static long score(long keyHash, String candidate) {
        return mix(keyHash + 31 * mix(hash(candidate)));
    }

    /** Computes the 64-bit FNV-1a hash of the UTF-8 bytes. */
    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            hash ^= octet & 0xff;
            hash *= FNV_PRIME;
        }
        return hash;
    }

    /** Applies the SplitMix64 finalizer. FNV-1a alone leaves the high bits of short names nearly constant. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    private record Scored<T>(long score, String name, T candidate) implements Comparable<Scored<T>> {
        @Override
        public int compareTo(Scored<T> other) {
            int byScore = Long.compareUnsigned(other.score, score);
            return byScore != 0 ? byScore : name.compareTo(other.name);
        }
    }
}
