package org.geraniumproxy.core.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.junit.jupiter.api.Test;

/** Guards against sessions that miss their own writes because of a damaged, foreign or oversized token. */
class SessionToken_decode_Test {
    private static final CustomerName CUSTOMER = CustomerName.of("troupes-cusco");
    private static final SessionRequirement REQUIREMENT =
            new SessionRequirement(LogPosition.of(8195, 41), LogPosition.of(16387, 45));

    @Test
    void should_decode_an_encoded_token() {
        // given
        SessionToken token = SessionToken.forNewSession(CUSTOMER)
                .with(GroupName.of("festival-ledger-1"), REQUIREMENT)
                .with(GroupName.of("západ-2"), SessionRequirement.NONE);

        // when
        TokenDecoding decoding = SessionToken.decode(token.encode(), CUSTOMER);

        // then
        assertThat(decoding, is(new TokenDecoding.Decoded(token)));
    }

    @Test
    void should_start_a_session_for_an_empty_text() {
        assertThat(
                SessionToken.decode("", CUSTOMER), is(new TokenDecoding.Decoded(SessionToken.forNewSession(CUSTOMER))));
    }

    @Test
    void should_refuse_the_token_of_another_customer() {
        // given
        String text =
                SessionToken.forNewSession(CustomerName.of("troupes-lima")).encode();

        // when
        TokenDecoding decoding = SessionToken.decode(text, CUSTOMER);

        // then
        assertThat(decoding, is(new TokenDecoding.Foreign()));
    }

    @Test
    void should_refuse_every_truncation_and_every_changed_character() {
        // given
        String text = SessionToken.forNewSession(CUSTOMER)
                .with(GroupName.of("festival-ledger-1"), REQUIREMENT)
                .encode();

        for (int index = 1; index < text.length(); index++) {
            // when
            char other = text.charAt(index) == 'A' ? 'Q' : 'A';
            String changed = text.substring(0, index) + other + text.substring(index + 1);

            // then
            assertThat(
                    SessionToken.decode(text.substring(0, index), CUSTOMER), instanceOf(TokenDecoding.Malformed.class));
            assertThat(SessionToken.decode(changed, CUSTOMER), instanceOf(TokenDecoding.Malformed.class));
        }
    }

    @Test
    void should_keep_the_largest_token_within_the_length_limit() {
        // given
        String longName = "𐐷".repeat(60);
        Map<GroupName, SessionRequirement> requirements = new HashMap<>();
        for (int index = 0; index < SessionToken.MAXIMUM_GROUPS; index++) {
            requirements.put(GroupName.of(longName + index), REQUIREMENT);
        }
        SessionToken token = new SessionToken(CUSTOMER, requirements);

        // when
        String text = token.encode();

        // then
        assertThat(text.length(), is(lessThan(SessionToken.MAXIMUM_TEXT_LENGTH)));
        assertThat(SessionToken.decode(text, CUSTOMER), is(new TokenDecoding.Decoded(token)));
        assertThat(token.hasCapacityFor(GroupName.of("one-more")), is(false));
    }

    @Test
    void should_refuse_a_text_over_the_length_limit() {
        assertThat(
                SessionToken.decode("A".repeat(SessionToken.MAXIMUM_TEXT_LENGTH + 1), CUSTOMER),
                instanceOf(TokenDecoding.Malformed.class));
    }
}
