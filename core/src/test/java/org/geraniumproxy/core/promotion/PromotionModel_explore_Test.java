package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against losing an acknowledged commit in any order of events that the model reaches. */
class PromotionModel_explore_Test {
    @Test
    void should_lose_no_acknowledged_commit() {
        PromotionModel model = new PromotionModel(PromotionModel.OmittedRule.NONE);
        boolean lost = model.losesCommit();
        assertThat("lost after " + model.states() + " states: " + model.trace(), lost, is(false));
    }

    @Test
    void should_lose_no_acknowledged_commit_while_an_earlier_request_is_in_flight() {
        PromotionModel model = new PromotionModel(PromotionModel.OmittedRule.NONE);
        boolean lost = model.losesCommitAfterOpenIntent();
        assertThat("lost after " + model.states() + " states: " + model.trace(), lost, is(false));
    }

    @ParameterizedTest
    @EnumSource(
            names = {"NONE", "INTENT", "TOKEN"},
            mode = EnumSource.Mode.EXCLUDE)
    void should_lose_a_commit_when_a_rule_is_omitted(PromotionModel.OmittedRule omittedRule) {
        assertThat(new PromotionModel(omittedRule).losesCommit(), is(true));
    }

    @Test
    void should_lose_a_commit_when_the_next_holder_does_not_see_the_intent() {
        PromotionModel model = new PromotionModel(PromotionModel.OmittedRule.INTENT);
        assertThat("states " + model.states(), model.losesCommitAfterOpenIntent(), is(true));
    }

    @Test
    void should_lose_no_acknowledged_commit_while_a_copy_of_the_last_request_is_in_flight() {
        PromotionModel model = new PromotionModel(PromotionModel.OmittedRule.NONE);
        boolean lost = model.losesCommitAfterLateRequest();
        assertThat("lost after " + model.states() + " states: " + model.trace(), lost, is(false));
    }

    @Test
    void should_lose_a_commit_when_a_request_reuses_the_token_of_one_in_flight() {
        PromotionModel model = new PromotionModel(PromotionModel.OmittedRule.TOKEN);
        assertThat("states " + model.states(), model.losesCommitAfterLateRequest(), is(true));
    }
}
