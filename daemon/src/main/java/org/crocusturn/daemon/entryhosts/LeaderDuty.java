package org.crocusturn.daemon.entryhosts;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.NotLeader;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.endpoints.EndpointCommandResult;
import org.crocusturn.core.entryhosts.ControlLeader;
import org.crocusturn.core.entryhosts.LeaderAction;
import org.crocusturn.core.entryhosts.LeaderInput;
import org.crocusturn.core.entryhosts.LeaderState;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.DecisionLog;
import org.crocusturn.daemon.platform.Metrics;

/**
 * Runs the decisions of the control leader while this host leads.
 *
 * <p>Inputs are dropped while the leader lease is not valid: an answer could otherwise outlive the
 * next leader's safe wait.
 */
public final class LeaderDuty implements DutyHandler<LeaderEvent> {
    private static final long TICK_NANOS = 20_000_000;

    /** Time between two looks at the consensus group, in nanoseconds. */
    private static final long MEMBERSHIP_NANOS = 500_000_000;

    /** Time for which a wish to join counts; hosts repeat it every 500 ms. */
    private static final long JOINING_NANOS = 2_000_000_000L;

    /** Reports between two that are answered with the members of the consensus group. */
    private static final long MEMBERS_EVERY = 8;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ControlLeader mLeader = ControlLeader.standard();
    private final DecisionLog mLog = DecisionLog.create(LogManager.getLogger(LeaderDuty.class), "");
    private final Map<EndpointId, String> mWatched = new HashMap<>();
    private final Map<org.crocusturn.core.GroupId, Long> mFailovers = new HashMap<>();
    private final Map<HostId, Joining> mJoining = new HashMap<>();
    private final LeaderPorts mPorts;
    private final Metrics mMetrics;
    private LeaderState mState = LeaderState.idle();
    private boolean mGained;
    private long mNextTickNanos;
    private long mNextMembershipNanos;

    private LeaderDuty(LeaderPorts ports, Metrics metrics) {
        mPorts = ports;
        mMetrics = metrics;
    }

    /** Is a host that asked to be a member. */
    private record Joining(String linkAddress, long askedNanos) {}

    /** Creates the handler. */
    public static LeaderDuty create(LeaderPorts ports, Metrics metrics) {
        return new LeaderDuty(
                Objects.requireNonNull(ports, "ports"), Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void onEvent(LeaderEvent event) {
        if (event instanceof LeaderEvent.Gained gained) {
            mGained = true;
            mState = LeaderState.idle();
            step(new LeaderInput.LeadershipGained(gained.term(), gained.state()));
            watch(gained.state());
        } else if (event instanceof LeaderEvent.Lost) {
            mGained = false;
            mState = LeaderState.idle();
            unwatchAll();
        } else if (event instanceof LeaderEvent.Applied applied) {
            apply(applied);
        } else if (event instanceof LeaderEvent.Reported reported) {
            report(reported);
        } else if (event instanceof LeaderEvent.LinkClosed closed) {
            stepIfLeading(new LeaderInput.EntryLinkClosed(closed.host()));
        } else if (event instanceof LeaderEvent.Observed observed) {
            stepIfLeading(new LeaderInput.EndpointObserved(observed.observation()));
        } else if (event instanceof LeaderEvent.Ordered ordered) {
            stepIfLeading(new LeaderInput.CommandFinished(ordered.result()));
        } else if (event instanceof LeaderEvent.Announced announced) {
            stepIfLeading(new LeaderInput.AnnouncementReceived(announced.endpoint()));
        } else if (event instanceof LeaderEvent.Departed departed) {
            stepIfLeading(new LeaderInput.DepartureReceived(departed.endpoint()));
        } else if (event instanceof LeaderEvent.JoinAsked asked) {
            mJoining.put(
                    asked.request().host(),
                    new Joining(asked.request().linkAddress(), SteadyClock.nanoTime()));
        } else if (event instanceof LeaderEvent.HostsAsked asked) {
            asked.reply().complete(leads() ? liveHosts() : Set.of());
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mNextTickNanos - nowNanos <= 0) {
            mMetrics.setLeads(leads());
            stepIfLeading(new LeaderInput.Tick());
            keepMembership(nowNanos);
            mNextTickNanos = nowNanos + TICK_NANOS;
        }
        return mNextTickNanos;
    }

    private void keepMembership(long nowNanos) {
        if (mNextMembershipNanos - nowNanos > 0) {
            return;
        }
        mNextMembershipNanos = nowNanos + MEMBERSHIP_NANOS;
        mJoining.values().removeIf(j -> nowNanos - j.askedNanos() > JOINING_NANOS);
        if (leads()) {
            Map<HostId, String> joining = new HashMap<>();
            mJoining.forEach((host, j) -> joining.put(host, j.linkAddress()));
            mPorts.keepMembership(joining, nowNanos);
        } else {
            mPorts.join(nowNanos);
        }
    }

    private Set<HostId> liveHosts() {
        return mState.registry().live(SteadyClock.nanoTime()).stream()
                .map(host -> host.id())
                .collect(Collectors.toSet());
    }

    private boolean leads() {
        return mGained && mPorts.leads();
    }

    /** A committed command reaches the decisions even while the lease is not valid for a moment. */
    private void apply(LeaderEvent.Applied applied) {
        if (!mGained) {
            return;
        }
        step(new LeaderInput.CommandApplied(applied.version(), applied.command(), applied.state()));
        watch(applied.state());
        long now = SteadyClock.nanoTime();
        if (applied.command() instanceof ControlCommand.BeginFailover begin) {
            mFailovers.put(begin.group(), now);
        } else if (applied.command() instanceof ControlCommand.CompletePromotion complete) {
            Long since = mFailovers.remove(complete.group());
            if (since != null) {
                mMetrics.recordFailover((now - since) / NANOS_PER_SECOND);
            }
        }
        mMetrics.setVersions(applied.state().configuration().version(), applied.version());
    }

    private void report(LeaderEvent.Reported reported) {
        EntryReport report = reported.report();
        if (!leads()) {
            mPorts.send(report.host(), new NotLeader(mPorts.leaderHint(), mPorts.members()));
        } else if (report.host().equals(reported.link())) {
            step(new LeaderInput.ReportReceived(report));
        }
    }

    private void stepIfLeading(LeaderInput input) {
        if (leads()) {
            step(input);
        }
    }

    private void step(LeaderInput input) {
        Decision<LeaderState, LeaderAction> decision =
                mLeader.step(mState, input, SteadyClock.nanoTime());
        mState = decision.state();
        decision.actions().forEach(this::perform);
    }

    private void perform(LeaderAction action) {
        if (action instanceof LeaderAction.Propose propose) {
            mPorts.propose(propose.command());
        } else if (action instanceof LeaderAction.SendUpdate send) {
            if (mPorts.leads()) {
                ControlUpdate update = send.update();
                boolean named = update.sequence() % MEMBERS_EVERY == 1;
                mPorts.send(send.host(), named ? update.withMembers(mPorts.members()) : update);
            }
        } else if (action instanceof LeaderAction.SendCommand order) {
            order(order.command());
        } else if (action instanceof LeaderAction.Log log) {
            mLog.write(log.text(), SteadyClock.nanoTime());
        }
    }

    private void order(EndpointCommand command) {
        String address = mWatched.get(command.endpoint());
        if (address == null) {
            stepIfLeading(
                    new LeaderInput.CommandFinished(
                            new EndpointCommandResult(command, Optional.empty())));
        } else {
            mPorts.order(address, command);
        }
    }

    private void watch(ControlState state) {
        Set.copyOf(mWatched.keySet()).stream()
                .filter(id -> !state.endpoints().containsKey(id))
                .forEach(this::unwatch);
        state.endpoints().values().forEach(this::watch);
    }

    private void watch(EndpointRecord endpoint) {
        String known = mWatched.get(endpoint.id());
        if (endpoint.statusAddress().isEmpty() || endpoint.statusAddress().equals(known)) {
            return;
        }
        if (known != null) {
            mPorts.unwatch(endpoint.id());
        }
        mWatched.put(endpoint.id(), endpoint.statusAddress());
        mPorts.watch(endpoint.id(), endpoint.statusAddress());
    }

    private void unwatch(EndpointId endpoint) {
        mWatched.remove(endpoint);
        mPorts.unwatch(endpoint);
    }

    private void unwatchAll() {
        Set.copyOf(mWatched.keySet()).forEach(this::unwatch);
    }
}
