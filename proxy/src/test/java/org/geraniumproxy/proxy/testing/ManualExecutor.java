package org.geraniumproxy.proxy.testing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;

/** An owner whose events run when the test says so, in order. */
public final class ManualExecutor implements Executor {
    private final Deque<Runnable> actions = new ArrayDeque<>();

    @Override
    public void execute(Runnable action) {
        actions.add(action);
    }

    /** Runs events until none is left. */
    public void runAll() {
        while (!actions.isEmpty()) {
            actions.remove().run();
        }
    }
}
