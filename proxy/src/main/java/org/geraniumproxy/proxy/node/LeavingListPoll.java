package org.geraniumproxy.proxy.node;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import org.geraniumproxy.proxy.failover.GroupSupervisors;
import org.geraniumproxy.proxy.platform.VmList;

/** Asks the platform's list for leaving backend servers and tells the supervision of the groups. */
final class LeavingListPoll {
    /** A leaving backend server gets no new work within 3 s, of which the list's own lag takes the larger part. */
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final Optional<VmList> list;
    private final GroupSupervisors supervisors;
    private final ScheduledExecutorService timer;

    @Inject
    LeavingListPoll(
            Optional<VmList> list, GroupSupervisors supervisors, @ControlExecutor ScheduledExecutorService timer) {
        this.list = list;
        this.supervisors = supervisors;
        this.timer = timer;
    }

    /** Begins to ask; a failed call is repeated at the next interval and leaves the known list in force. */
    void start() {
        list.ifPresent(present -> {
            var unused =
                    timer.scheduleWithFixedDelay(() -> ask(present), 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        });
    }

    private void ask(VmList present) {
        var unused = present.leavingBackendServers().thenAccept(supervisors::updateLeaving);
    }
}
