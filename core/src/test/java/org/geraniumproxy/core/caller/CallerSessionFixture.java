package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.PromotionFences;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.routing.EvacuationPhase;
import org.geraniumproxy.core.routing.PlacementConstraints;
import org.geraniumproxy.core.service.AllowedRegions;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.service.ServiceConfiguration;
import org.geraniumproxy.core.service.ServiceCustomer;
import org.geraniumproxy.core.service.ServiceGroup;
import org.geraniumproxy.core.service.ServiceRoute;
import org.geraniumproxy.core.statement.Statement;

/** A session with one group of a primary and a replica, and a clock that only the test advances. */
final class CallerSessionFixture {
    static final GroupName GROUP = GroupName.of("entries");
    static final BackendServerName PRIMARY = BackendServerName.of("db-1");
    static final BackendServerName REPLICA = BackendServerName.of("db-2");
    static final CustomerName TROUPE = CustomerName.of("troupe");
    static final CustomerName JUROR = CustomerName.of("juror");
    static final KeyDigest KEY = KeyDigest.ofKey("key");
    static final Duration TIMEOUT = Duration.ofMillis(800);

    private static final long CONNECTION = 7;
    private static final FailureDomain LIMA = FailureDomain.of("lima-a");
    private static final FailureDomain CUSCO = FailureDomain.of("cusco-a");

    private PrimaryPositionHistory primaryHistory = PrimaryPositionHistory.NONE;
    private Instant now = Instant.EPOCH;
    private Optional<CustomerName> keyHolder = Optional.of(TROUPE);
    private long version = 4;
    private boolean anonymousAllowed;
    private Duration statementTimeout = TIMEOUT;
    private Optional<CallerDrain> drain = Optional.empty();
    private Map<GroupName, PromotionFences> promotionFences = Map.of();
    private AllowedRegions regionsAllowed = AllowedRegions.ALL;
    private Optional<EvacuationPhase> phaseOfPrimary = Optional.empty();
    private CallerSession session = CallerSession.create(1, Instant.EPOCH);
    private List<SessionEffect> effects = List.of();

    static CallerSessionFixture connectedWith(Consistency consistency) {
        CallerSessionFixture fixture = new CallerSessionFixture();
        fixture.on(new SessionEvent.ConnectReceived(consistency.name(), KEY));
        return fixture;
    }

    CallerSession session() {
        return session;
    }

    Instant now() {
        return now;
    }

    CallerSessionFixture recordsPrimaryPosition(LogPosition position) {
        primaryHistory = PrimaryPositionHistory.NONE.with(new PrimaryPositionHistory.Sample(position, now));
        return this;
    }

    CallerSessionFixture withStatementTimeout(Duration timeout) {
        statementTimeout = timeout;
        return this;
    }

    CallerSessionFixture withdrawsKey() {
        return configures(Optional.empty());
    }

    CallerSessionFixture movesKeyTo(CustomerName customer) {
        return configures(Optional.of(customer));
    }

    /** Applies the next version of the configuration, in which the given customer holds the key. */
    private CallerSessionFixture configures(Optional<CustomerName> holder) {
        keyHolder = holder;
        version++;
        return this;
    }

    CallerSessionFixture allowsAnonymous() {
        anonymousAllowed = true;
        return this;
    }

    /** Returns the customer for whom the caller's statements run, or empty if its key is not known. */
    Optional<CustomerName> customer() {
        return keyHolder.isEmpty() && anonymousAllowed ? Optional.of(CallerSession.ANONYMOUS) : keyHolder;
    }

    /** Begins a stop in which transactions end after 1 s and answers are due after 3 s. */
    CallerSessionFixture startsDraining() {
        drain = Optional.of(new CallerDrain(now, now.plusSeconds(1), now.plusSeconds(3)));
        return this;
    }

    CallerSessionFixture learnsPromotion(PromotionFences fences) {
        promotionFences = Map.of(GROUP, fences);
        return this;
    }

    /** Allows the routes only some regions. The primary is in lima, the replica in cusco. */
    CallerSessionFixture allowsRegions(Set<String> regions) {
        regionsAllowed = new AllowedRegions(regions);
        return this;
    }

    /** Evacuates the failure domain of the primary, which accepts statements in the first phase only. */
    CallerSessionFixture evacuatesPrimary(EvacuationPhase phase) {
        phaseOfPrimary = Optional.of(phase);
        return this;
    }

    CallerSessionFixture advance(Duration duration) {
        now = now.plus(duration);
        return this;
    }

    CallerSessionFixture on(SessionEvent event) {
        Transition<CallerSession, SessionEffect> transition = session.on(event, context());
        session = transition.state();
        effects = transition.effects();
        return this;
    }

    /** Sends a statement and grants a rate token if the session requests one. */
    CallerSessionFixture sends(Statement statement) {
        on(new SessionEvent.StatementReceived("r1", statement));
        return effect(SessionEffect.RequestRateToken.class).isPresent()
                ? on(new SessionEvent.RateTokenGranted(tokenRequestId()))
                : this;
    }

    /** Runs a statement of an open transaction. */
    CallerSessionFixture runs(Statement statement) {
        return sends(statement).grantsSlot().receivesReplies(completed(TransactionState.OPEN, 1));
    }

    /** Returns the id of the token request that the last event has caused. */
    long tokenRequestId() {
        return effect(SessionEffect.RequestRateToken.class).orElseThrow().tokenRequestId();
    }

    CallerSessionFixture grantsSlot() {
        long number = effect(SessionEffect.RequestSlot.class).orElseThrow().slotRequestId();
        return on(new SessionEvent.SlotGranted(number, CONNECTION, ConnectionState.EMPTY));
    }

    CallerSessionFixture receivesReplies(BackendReply... replies) {
        return on(new SessionEvent.RepliesReceived(CONNECTION, List.of(replies)));
    }

    CallerSessionFixture losesConnection() {
        return on(new SessionEvent.ConnectionLost(CONNECTION));
    }

    List<SessionEffect> effects() {
        return effects;
    }

    List<BackendCommand> sentCommands() {
        return effect(SessionEffect.SendCommands.class)
                .map(SessionEffect.SendCommands::commands)
                .orElse(List.of());
    }

    Optional<BackendServerName> requestedDatabase() {
        return effect(SessionEffect.RequestSlot.class).map(SessionEffect.RequestSlot::database);
    }

    StatementResult result() {
        return effect(SessionEffect.Reply.class).orElseThrow().result();
    }

    ErrorCode error() {
        return result() instanceof StatementResult.Failed failed ? failed.code() : null;
    }

    /** Returns whether the last reply was observed as an acknowledged commit. */
    boolean reportsAcknowledgedCommit() {
        return effect(SessionEffect.ReportObservation.class).orElseThrow().observation()
                        instanceof DatabaseObservation.Answered answered
                && answered.acknowledgedCommit();
    }

    TransactionState transactionState() {
        return effect(SessionEffect.Reply.class).orElseThrow().transactionState();
    }

    boolean hasEffect(Class<? extends SessionEffect> type) {
        return effect(type).isPresent();
    }

    <E extends SessionEffect> Optional<E> effect(Class<E> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).findFirst();
    }

    static BackendReply completed(TransactionState state, long position) {
        return new BackendReply(
                List.of("row"),
                new StatementResult.Completed("signature"),
                state,
                Optional.of(LogPosition.of(3, position)));
    }

    static BackendReply failed(ErrorCode code, TransactionState state) {
        return new BackendReply(
                List.of(), new StatementResult.Failed(code, "text"), state, Optional.of(LogPosition.of(3, 1)));
    }

    private SessionContext context() {
        Map<BackendServerName, DatabaseEntry> databases = new HashMap<>();
        databases.put(PRIMARY, entry(PRIMARY, LIMA, true));
        databases.put(REPLICA, entry(REPLICA, CUSCO, false));
        Map<BackendServerName, DatabaseEntry> former = new HashMap<>();
        boolean closed = phaseOfPrimary
                .filter(phase -> phase != EvacuationPhase.REPLACING)
                .isPresent();
        if (closed) {
            former.put(PRIMARY, databases.remove(PRIMARY));
        }
        PlacementConstraints constraints = new PlacementConstraints(
                Map.of(LIMA, RegionName.of("lima"), CUSCO, RegionName.of("cusco")),
                phaseOfPrimary.map(phase -> Map.of(LIMA, phase)).orElse(Map.of()),
                closed ? Set.of(GROUP) : Set.of());
        GroupDirectory directory = new GroupDirectory(databases, Optional.empty(), Map.of());
        TrafficView view = new TrafficView(
                configuration(),
                Map.of(GROUP, directory),
                former,
                drain,
                1,
                Set.of(GROUP),
                List.of(),
                promotionFences,
                Map.of(),
                constraints);
        return new SessionContext(view, primaryHistory, Map.of(), now, 0);
    }

    private ServiceConfiguration configuration() {
        Map<String, ServiceRoute> routes = new HashMap<>();
        for (Consistency consistency : Consistency.values()) {
            Duration age = consistency == Consistency.PRIMARY ? Duration.ZERO : Duration.ofMillis(1500);
            routes.put(
                    consistency.name(),
                    new ServiceRoute(
                            RouteName.of(consistency.name()),
                            consistency.name(),
                            GROUP,
                            consistency,
                            age,
                            statementTimeout,
                            Duration.ofMillis(400),
                            1,
                            anonymousAllowed,
                            regionsAllowed));
        }
        return ServiceConfiguration.of(
                version,
                routes,
                Map.of(GROUP, new ServiceGroup(GROUP, 16, 1)),
                Map.of(TROUPE, serviceCustomer(TROUPE), JUROR, serviceCustomer(JUROR)),
                Duration.ofSeconds(3));
    }

    private ServiceCustomer serviceCustomer(CustomerName name) {
        Set<KeyDigest> keys = keyHolder.equals(Optional.of(name)) ? Set.of(KEY) : Set.of();
        return new ServiceCustomer(name, keys, 100, 100);
    }

    private static DatabaseEntry entry(BackendServerName name, FailureDomain failureDomain, boolean primary) {
        return new DatabaseEntry(
                name, GROUP, "10.0.0.1:1", failureDomain, 2, false, primary, 1, 1, new StoreRevision(1, 1));
    }
}
