package org.geraniumproxy.core.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against rules of fencing, selection or acknowledgement that can lose an acknowledged write. */
class FencingModel_search_Test {
    @Test
    void should_find_no_lost_write_under_the_rules_of_the_design() {
        // when
        FencingModel.Result result = new FencingModel(3, 3, FencingModel.Rules.DESIGN).search();

        // then: a search that visits only a few states would prove nothing
        System.out.println("fencing model, rules of the design: " + result);
        assertThat(result.lost(), is(false));
        assertThat(result.states(), is(greaterThan(100_000)));
    }

    @Test
    void should_find_a_lost_write_when_the_choice_is_made_by_position_alone() {
        // when
        FencingModel.Result result = new FencingModel(3, 3, FencingModel.Rules.CHOICE_BY_POSITION_ALONE).search();

        // then
        System.out.println("fencing model, choice by position alone: " + result);
        assertThat(result.lost(), is(true));
    }

    @Test
    void should_find_a_lost_write_when_a_database_that_was_only_fenced_counts() {
        // when
        FencingModel.Result result = new FencingModel(3, 3, FencingModel.Rules.COUNT_FENCED_DATABASES).search();

        // then
        System.out.println("fencing model, fenced databases counted: " + result);
        assertThat(result.lost(), is(true));
    }
}
