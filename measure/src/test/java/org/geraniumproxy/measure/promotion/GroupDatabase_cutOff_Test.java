package org.geraniumproxy.measure.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.geraniumproxy.measure.process.LineSocket;
import org.geraniumproxy.measure.process.PortAllocator;
import org.junit.jupiter.api.Test;

/** Guards against a cut that hits other nodes than those it names. */
class GroupDatabase_cutOff_Test {
    @Test
    void should_cut_off_exactly_the_named_nodes() throws Exception {
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        ReplicationGroup group = new ReplicationGroup(Clock.systemUTC(), executor, new SplittableRandom(1));
        group.add("i-1");
        try (GroupDatabase database = new GroupDatabase("i-1", group, new PortAllocator(), executor)) {
            for (int cut = 0; cut < PromotionRun.NODES.size(); cut++) {
                // when
                database.cutOff(Set.of(cut));

                // then
                List<Integer> unreached = new ArrayList<>();
                for (int node = 0; node < PromotionRun.NODES.size(); node++) {
                    if (!answers(database.address(node))) {
                        unreached.add(node);
                    }
                }
                assertThat(unreached, is(List.of(cut)));
            }
        } finally {
            executor.shutdownNow();
        }
    }

    private static boolean answers(String address) throws InterruptedException {
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        try (LineSocket lines = LineSocket.connect(port, Duration.ZERO)) {
            lines.write("CONNECT " + ReplicationGroup.SERVICE + " troupe i-1\r\n");
            return lines.readLine().orElse("").startsWith("READY");
        } catch (IOException e) {
            return false; // closed or reset
        }
    }
}
