package org.geraniumproxy.core.identity;

/**
 * Term of a primary; each promotion starts a new one. The number is {@code round * 8192 + vmIndex}, so that two VMs
 * that promote concurrently never use the same term.
 *
 * <pre>{@code
 * Term next = Term.NONE.nextFor(3); // round 1 of the VM with index 3
 * }</pre>
 *
 * @param number the number of the term, zero for none
 */
public record Term(long number) implements Comparable<Term> {
    /** The term of a database before the first promotion. */
    public static final Term NONE = new Term(0);

    /** Number of VM indexes: the smallest power of two above the supported maximum of 6,400 VMs. */
    public static final int VM_INDEX_COUNT = 8192;

    /**
     * Validates the term.
     *
     * @throws IllegalArgumentException if the number is negative
     */
    public Term {
        if (number < 0) {
            throw new IllegalArgumentException("term must not be negative, but is: " + number);
        }
    }

    /**
     * Creates a term.
     *
     * @param number the number, zero for none
     * @return the term, {@link #NONE} for zero
     * @throws IllegalArgumentException if the number is negative
     */
    public static Term of(long number) {
        return number == 0 ? NONE : new Term(number);
    }

    /**
     * Returns the lowest term above this one that belongs to a VM.
     *
     * @param vmIndex index of the VM in the roster, from 0 to 8191
     * @return the next term of that VM
     * @throws IllegalArgumentException if the index is out of range
     */
    public Term nextFor(int vmIndex) {
        if (vmIndex < 0 || vmIndex >= VM_INDEX_COUNT) {
            throw new IllegalArgumentException("VM index must be from 0 to 8191, but is: " + vmIndex);
        }
        long nextRound = number / VM_INDEX_COUNT + 1;
        return new Term(nextRound * VM_INDEX_COUNT + vmIndex);
    }

    /**
     * Returns the index of the VM that started the term.
     *
     * @return the index in the roster, from 0 to 8191
     */
    public int vmIndex() {
        return (int) (number % VM_INDEX_COUNT);
    }

    /**
     * Tells whether this term comes after another one.
     *
     * @param other the term to compare with
     * @return true if this term has the higher number
     */
    public boolean isAfter(Term other) {
        return number > other.number;
    }

    @Override
    public int compareTo(Term other) {
        return Long.compare(number, other.number);
    }
}
