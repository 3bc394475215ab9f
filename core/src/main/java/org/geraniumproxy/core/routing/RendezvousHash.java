package org.geraniumproxy.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous hash: ranks candidates for a key so that all VMs agree, and so that adding or removing a candidate changes
 * the order of no others. The hash is a fixed function of the text, the same in every process and release.
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
     * @param nameOf gives the unique name of a candidate
     * @param <T> type of the candidates
     * @return the candidates in order
     */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> nameOf) {
        // The scores are computed once each, because sorting 6,400 VMs compares them some 80,000 times.
        return candidates.stream()
                .map(candidate -> Scored.of(key, candidate, nameOf.apply(candidate)))
                .sorted()
                .map(Scored::candidate)
                .toList();
    }

    /**
     * Returns the score of a candidate for a key, to be compared as an unsigned number.
     *
     * @param key the key
     * @param candidate the name of the candidate
     * @return the score
     */
    public static long score(String key, String candidate) {
        return mix(hash(key) + 31 * mix(hash(candidate)));
    }

    /** FNV-1a over the UTF-8 bytes. */
    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            hash ^= octet & 0xff;
            hash *= FNV_PRIME;
        }
        return hash;
    }

    /** Finalizer of SplitMix64: FNV-1a alone leaves the high bits of short names nearly constant. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    private record Scored<T>(long score, String name, T candidate) implements Comparable<Scored<T>> {
        static <T> Scored<T> of(String key, T candidate, String name) {
            return new Scored<>(RendezvousHash.score(key, name), name, candidate);
        }

        @Override
        public int compareTo(Scored<T> other) {
            int byScore = Long.compareUnsigned(other.score, score);
            return byScore != 0 ? byScore : name.compareTo(other.name);
        }
    }
}
