package org.geraniumproxy.core.admission;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.configuration.Route;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.customer.Authentication;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.Names;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.routing.Access;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.session.SessionToken;
import org.geraniumproxy.core.session.TokenDecoding;

/** Checks a caller's request against the configuration. A refused request has not been run. */
public final class AdmissionDecision {
    /** Maximum time that a caller may wait; longer times are reduced to it, so that deadlines cannot overflow. */
    public static final Duration MAXIMUM_TIME_LEFT = Duration.ofHours(1);

    private AdmissionDecision() {}

    /**
     * Decides whether a request is admitted.
     *
     * @param snapshot control state of this VM
     * @param request request as the caller sent it
     * @param now the current time
     * @return the request for the database group, or a refusal
     */
    public static Admission decide(ControlSnapshot snapshot, CallerRequest request, Instant now) {
        if (!request.timeLeft().isPositive()) {
            return Admission.refused(NotRunReason.DEADLINE_IN_PAST, "the deadline must lie ahead");
        }
        if (isStatementTooLarge(request.statement())) {
            return Admission.refused(
                    NotRunReason.STATEMENT_TOO_LARGE,
                    "a statement may have " + GroupRequest.MAXIMUM_STATEMENT_BYTES + " bytes");
        }
        if (request.access().isEmpty() || request.acceptedAge().isNegative()) {
            return Admission.refused(
                    NotRunReason.MALFORMED_REQUEST, "access must be given and the accepted age not be negative");
        }
        if (!Names.isValid(request.route())) {
            return Admission.refused(NotRunReason.UNKNOWN_ROUTE, "no route has this name");
        }
        return switch (Authentication.authenticate(snapshot, RouteName.of(request.route()), request.key(), now)) {
            case Authentication.Refused refused -> Admission.refused(refused.reason(), refused.detail());
            case Authentication.Authenticated authenticated ->
                checkAccess(authenticated.route(), authenticated.customer().name(), request, now);
        };
    }

    /**
     * Returns whether a statement exceeds {@link GroupRequest#MAXIMUM_STATEMENT_BYTES} in UTF-8.
     *
     * @param statement the statement text
     * @return true if the statement is too large
     */
    public static boolean isStatementTooLarge(String statement) {
        return statement.length() > GroupRequest.MAXIMUM_STATEMENT_BYTES
                || statement.getBytes(StandardCharsets.UTF_8).length > GroupRequest.MAXIMUM_STATEMENT_BYTES;
    }

    private static Admission checkAccess(Route route, CustomerName customer, CallerRequest request, Instant now) {
        Access access = request.access().orElseThrow();
        if (access == Access.WRITE && route.access() == Access.READ) {
            return Admission.refused(NotRunReason.ROUTE_NOT_ALLOWED, "the route allows reads only");
        }
        return switch (SessionToken.decode(request.sessionToken(), customer)) {
            case TokenDecoding.Malformed malformed ->
                Admission.refused(NotRunReason.MALFORMED_TOKEN, malformed.detail());
            case TokenDecoding.Foreign _ ->
                Admission.refused(NotRunReason.FOREIGN_TOKEN, "the session belongs to another customer");
            case TokenDecoding.Decoded decoded -> toGroupRequest(route, decoded.token(), request, access, now);
        };
    }

    private static Admission toGroupRequest(
            Route route, SessionToken token, CallerRequest request, Access access, Instant now) {
        GroupName group = route.selectGroup(request.statementKey());
        if (!token.hasCapacityFor(group)) {
            return Admission.refused(
                    NotRunReason.MALFORMED_TOKEN, "a session may use " + SessionToken.MAXIMUM_GROUPS + " groups");
        }
        Duration timeLeft = min(request.timeLeft(), MAXIMUM_TIME_LEFT);
        return new Admission.Admitted(
                token,
                new GroupRequest(
                        request.requestNumber(),
                        token.customer(),
                        group,
                        request.statement(),
                        access,
                        request.repeatable(),
                        min(request.acceptedAge(), route.acceptedAge()),
                        now.plus(timeLeft),
                        token.requirementOf(group)));
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
