package org.geraniumproxy.engine.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.geraniumproxy.core.balance.LoadReports;
import org.geraniumproxy.core.caller.PositionAnswer;
import org.geraniumproxy.core.caller.PositionRequest;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against a rolling update in which VMs reject the position messages of an earlier version. */
class PositionMessageCodec_decode_Test {
    @Test
    void should_accept_messages_that_end_before_the_loads() throws Exception {
        PositionRequest request = new PositionRequest(VmName.of("vm-1"), 7, Map.of());
        byte[] requestBytes = PositionMessageCodec.encode(request);
        assertThat(PositionMessageCodec.decodeRequest(requestBytes, requestBytes.length - 1), is(request));
        PositionAnswer answer = new PositionAnswer(7, Map.of(), LoadReports.Sums.NONE);
        byte[] answerBytes = PositionMessageCodec.encode(answer);
        assertThat(PositionMessageCodec.decodeAnswer(answerBytes, answerBytes.length - 2), is(answer));
    }
}
