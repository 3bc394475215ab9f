package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import org.geraniumproxy.core.caller.PositionAnswer;
import org.geraniumproxy.core.caller.PositionRequest;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateHandover;
import org.geraniumproxy.core.limit.RateOwnership;
import org.geraniumproxy.core.limit.TokenAnswer;
import org.geraniumproxy.core.limit.TokenRequest;

/**
 * Requests between the traffic threads of the VMs: for rate tokens and for the positions of primaries. All methods must
 * be called on the traffic thread.
 */
public final class PeerRequests {
    private final TrafficEngine engine;
    private final RateLimiter rateLimiter;
    private final PositionPoller positionPoller;
    private final LoadBalancer balancer;
    private RateOwnership ownership = RateOwnership.alone(VmName.of("unknown"));

    PeerRequests(TrafficEngine engine, PeerSender sender, LoadBalancer balancer) {
        this.engine = engine;
        this.rateLimiter = new RateLimiter(engine, sender);
        this.positionPoller = new PositionPoller(engine, sender, balancer);
        this.balancer = balancer;
    }

    /**
     * Answers the request of another VM for tokens.
     *
     * @param request request to the owner of a rate
     */
    public void receive(TokenRequest request) {
        rateLimiter.receive(request);
        engine.runPendingSteps();
    }

    /**
     * Applies the answer to a request of this VM for tokens.
     *
     * @param answer answer of the owner of a rate
     */
    public void receive(TokenAnswer answer) {
        rateLimiter.receive(answer);
        engine.runPendingSteps();
    }

    /**
     * Applies the handover of rates that another VM owned.
     *
     * @param handover rates that the sender doesn't lend any more
     */
    public void receive(RateHandover handover) {
        rateLimiter.receive(handover);
    }

    /** Hands the rates that this VM owns over before it leaves. */
    public void handOverRates() {
        rateLimiter.handOverAll();
    }

    /**
     * Answers the request of another VM for the positions of primaries.
     *
     * @param request request to a watcher
     */
    public void receive(PositionRequest request) {
        engine.dropSamplesAfterClockJump();
        positionPoller.answer(request, engine.watchedPositions(), ownership);
    }

    /**
     * Applies the positions that another VM told.
     *
     * @param answer answer of a watcher
     */
    public void receive(PositionAnswer answer) {
        engine.dropSamplesAfterClockJump();
        positionPoller.apply(answer).forEach(engine::recordPosition);
    }

    void update(TrafficView view, RateOwnership next) {
        ownership = next;
        rateLimiter.update(view.configuration().customers(), next);
        positionPoller.update(view.positionSources());
    }

    /** Requests a token for the operation of a session, which receives the decision as an event. */
    void admit(long tokenRequestId, CustomerName customer, Duration maximumWait) {
        rateLimiter.admit(tokenRequestId, customer, maximumWait);
    }

    void onTick() {
        positionPoller.onTick(ownership);
        balancer.onTick(ownership.self());
    }

    void onClockJump() {
        positionPoller.onClockJump();
        balancer.onClockJump();
    }
}
