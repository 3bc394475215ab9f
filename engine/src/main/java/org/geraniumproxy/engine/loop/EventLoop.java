package org.geraniumproxy.engine.loop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.UnresolvedAddressException;
import java.nio.channels.UnsupportedAddressTypeException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.geraniumproxy.engine.telemetry.DecisionLog;

/**
 * Event loop: a single thread that serves connections, timers and tasks. It blocks in the selector and never
 * busy-waits.
 */
public final class EventLoop implements Executor {
    /** Larger than almost every message, so that one read usually receives a whole message. */
    private static final int READ_BUFFER_BYTES = 64 * 1024;

    /** Length of the accept queue. After a restart, all callers of a VM reconnect at the same time. */
    private static final int ACCEPT_BACKLOG = 1024;

    /** Pending output of a connection from which nothing is read from it, if its creator chooses no other limit. */
    public static final int DEFAULT_PENDING_BYTES = 4 * 1024 * 1024;

    /**
     * Connections accepted in one iteration. The descriptor of a connection that is refused is only free again after
     * the next selection.
     */
    private static final int MAXIMUM_ACCEPTS = 32;

    /** Pause after a connection could not be accepted, for want of descriptors for example. */
    private static final Duration ACCEPT_RETRY_DELAY = Duration.ofMillis(100);

    private final Selector selector;
    private final Clock clock;
    private final DecisionLog log;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Deque<StreamConnection> pendingFlushes = new ArrayDeque<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private long timerSequence;

    private record Timer(Instant dueAt, long sequence, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int dueAtOrder = dueAt.compareTo(other.dueAt);
            return dueAtOrder != 0 ? dueAtOrder : Long.compare(sequence, other.sequence);
        }
    }

    private record Listener(
            ServerSocketChannel channel,
            Function<StreamConnection[], StreamHandler> handlerFactory,
            int maximumPendingBytes) {}

    /**
     * Creates an event loop whose thread is not started.
     *
     * @param clock monotonic clock for the timers
     * @param log receives failures of tasks, connections and the selector
     * @throws IOException if the selector cannot be opened
     */
    public EventLoop(Clock clock, DecisionLog log) throws IOException {
        this.selector = Selector.open();
        this.clock = clock;
        this.log = log;
    }

    /**
     * Starts the thread of the loop.
     *
     * @param name thread name
     */
    public void start(String name) {
        Thread.ofPlatform().name(name).start(this::run);
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /**
     * Schedules a task. Must be called on the loop's thread.
     *
     * @param dueAt time by the clock of the loop; a task whose time has passed runs in the next iteration
     * @param task runs on the loop's thread; exceptions are logged
     */
    public void schedule(Instant dueAt, Runnable task) {
        timers.add(new Timer(dueAt, timerSequence++, task));
    }

    /**
     * Listens for connections. Must be called before the loop starts or on its thread.
     *
     * @param address address to bind
     * @param handlerFactory creates the handler of a new connection; its argument is a one-element array that holds the
     *     connection once the factory has returned
     * @return closes the listener; must be run on the loop's thread
     * @throws IOException if the address cannot be bound
     */
    public Runnable listen(InetSocketAddress address, Function<StreamConnection[], StreamHandler> handlerFactory)
            throws IOException {
        return listen(address, handlerFactory, DEFAULT_PENDING_BYTES);
    }

    /**
     * Listens for connections with a limit of their own. Must be called before the loop starts or on its thread.
     *
     * @param address address to bind
     * @param handlerFactory creates the handler of a new connection, see {@link #listen(InetSocketAddress, Function)}
     * @param maximumPendingBytes nothing is read from an accepted connection while more output than this is pending
     * @return closes the listener; must be run on the loop's thread
     * @throws IOException if the address cannot be bound
     */
    public Runnable listen(
            InetSocketAddress address,
            Function<StreamConnection[], StreamHandler> handlerFactory,
            int maximumPendingBytes)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.configureBlocking(false);
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(address, ACCEPT_BACKLOG);
        Listener listener = new Listener(server, handlerFactory, maximumPendingBytes);
        server.register(selector, SelectionKey.OP_ACCEPT, listener);
        return () -> closeListener(listener);
    }

    /**
     * Opens a connection without blocking. Must be called on the loop's thread.
     *
     * @param address address of the peer
     * @param handler receives the events of the connection, including a failure to open it
     * @return the connection, which is not open yet
     */
    public StreamConnection connect(InetSocketAddress address, StreamHandler handler) {
        return connect(address, handler, DEFAULT_PENDING_BYTES);
    }

    /**
     * Opens a connection with a limit of its own, without blocking. Must be called on the loop's thread.
     *
     * @param address address of the peer
     * @param handler receives the events of the connection, including a failure to open it
     * @param maximumPendingBytes nothing is read while more output than this is pending
     * @return the connection, which is not open yet
     */
    public StreamConnection connect(InetSocketAddress address, StreamHandler handler, int maximumPendingBytes) {
        try {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            StreamConnection connection = new StreamConnection(this, channel, handler, maximumPendingBytes);
            boolean immediate = channel.connect(address);
            SelectionKey key = channel.register(selector, SelectionKey.OP_CONNECT, connection);
            connection.attachKey(key);
            if (immediate) {
                execute(connection::finishConnect);
            }
            return connection;
        } catch (IOException | UnresolvedAddressException | UnsupportedAddressTypeException e) {
            logFailure("opening a connection failed", e);
            StreamConnection failed = StreamConnection.unopened(this, handler);
            execute(() -> failed.close("connect failed: " + e));
            return failed;
        }
    }

    /** Returns the buffer through which connections write; its content is only valid during a write. */
    ByteBuffer writeBuffer() {
        return writeBuffer;
    }

    void receive(StreamConnection connection) {
        connection.read(readBuffer);
    }

    void scheduleFlush(StreamConnection connection) {
        pendingFlushes.add(connection);
    }

    void logFailure(String failure, Exception cause) {
        log.write("loop", failure, "error=\"" + cause + "\"");
    }

    private void run() {
        while (selector.isOpen()) {
            try {
                runTimers();
                runTasks();
                flushPending();
                select();
            } catch (IOException | RuntimeException e) {
                logFailure("an iteration failed", e);
            }
        }
    }

    private void select() throws IOException {
        Timer next = timers.peek();
        long timeoutMilliseconds = 0;
        if (next != null) {
            Duration remaining = Duration.between(clock.instant(), next.dueAt());
            timeoutMilliseconds = Math.max(1, remaining.toMillis() + 1);
        }
        if (tasks.isEmpty()) {
            selector.select(this::handle, timeoutMilliseconds);
        } else {
            selector.selectNow(this::handle);
        }
    }

    private void handle(SelectionKey key) {
        try {
            if (!key.isValid()) {
                return;
            }
            switch (key.attachment()) {
                case Listener listener -> accept(listener, MAXIMUM_ACCEPTS);
                case StreamConnection connection -> handle(key, connection);
                default -> throw new IllegalStateException("unexpected attachment of a selection key");
            }
        } catch (RuntimeException e) {
            logFailure("handling a connection failed", e);
            if (key.attachment() instanceof StreamConnection connection) {
                connection.close("internal error: " + e);
            }
        }
    }

    private void handle(SelectionKey key, StreamConnection connection) {
        if (key.isConnectable()) {
            connection.finishConnect();
        } else {
            if (key.isWritable()) {
                connection.flush();
            }
            if (key.isValid() && key.isReadable()) {
                connection.read(readBuffer);
            }
        }
    }

    private void accept(Listener listener, int maximum) {
        try {
            SocketChannel channel = listener.channel().accept();
            int accepted = 0;
            while (channel != null) {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
                StreamConnection[] connectionReference = new StreamConnection[1];
                StreamHandler handler = listener.handlerFactory().apply(connectionReference);
                connectionReference[0] = new StreamConnection(this, channel, handler, listener.maximumPendingBytes());
                register(channel, connectionReference[0], handler);
                accepted++;
                channel = accepted < maximum ? listener.channel().accept() : null;
            }
        } catch (IOException e) {
            logFailure("accepting a connection failed", e);
            pauseAccepting(listener);
        }
    }

    /** Stops accepting for a moment. The waiting connection would otherwise wake the selector without end. */
    private void pauseAccepting(Listener listener) {
        SelectionKey key = listener.channel().keyFor(selector);
        if (key == null || !key.isValid()) {
            return;
        }
        key.interestOps(0);
        schedule(clock.instant().plus(ACCEPT_RETRY_DELAY), () -> {
            if (key.isValid()) {
                key.interestOps(SelectionKey.OP_ACCEPT);
            }
        });
    }

    /** Registers an accepted connection. Its handler is told if that fails. */
    private void register(SocketChannel channel, StreamConnection connection, StreamHandler handler) {
        try {
            connection.attachKey(channel.register(selector, SelectionKey.OP_READ, connection));
            handler.onConnected();
        } catch (IOException | RuntimeException e) {
            logFailure("accepting a connection failed", e);
            connection.close("accept failed: " + e);
        }
    }

    /** Closes a listener. Connections that wait to be accepted would be reset by the close. */
    private void closeListener(Listener listener) {
        accept(listener, Integer.MAX_VALUE);
        try {
            listener.channel().close();
        } catch (IOException e) {
            logFailure("closing a listener failed", e);
        }
    }

    private void runTimers() {
        Instant now = clock.instant();
        while (!timers.isEmpty() && !timers.peek().dueAt().isAfter(now)) {
            runSafely(timers.remove().task());
        }
    }

    private void runTasks() {
        int count = tasks.size();
        for (int index = 0; index < count; index++) {
            runSafely(tasks.remove());
        }
    }

    private void flushPending() {
        while (!pendingFlushes.isEmpty()) {
            pendingFlushes.remove().flush();
        }
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logFailure("a task failed", e);
        }
    }
}
