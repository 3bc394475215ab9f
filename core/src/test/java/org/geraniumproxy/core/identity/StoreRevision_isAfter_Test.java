package org.geraniumproxy.core.identity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against revisions of a restored store that count as older because their numbers are lower. */
class StoreRevision_isAfter_Test {
    private static final StoreRevision BEFORE_RESTORATION = new StoreRevision(1, 31);
    private static final StoreRevision AFTER_RESTORATION = new StoreRevision(2, 21);

    @Test
    void should_compare_the_era_before_the_number() {
        assertThat(AFTER_RESTORATION.isAfter(BEFORE_RESTORATION), is(true));
        assertThat(BEFORE_RESTORATION.isAfter(AFTER_RESTORATION), is(false));
    }

    @Test
    void should_compare_the_numbers_of_one_era() {
        assertThat(new StoreRevision(2, 22).isAfter(AFTER_RESTORATION), is(true));
        assertThat(AFTER_RESTORATION.isAfter(AFTER_RESTORATION), is(false));
    }

    @Test
    void should_reject_negative_numbers() {
        assertThrows(IllegalArgumentException.class, () -> new StoreRevision(-1, 0));
        assertThrows(IllegalArgumentException.class, () -> new StoreRevision(0, -1));
    }
}
