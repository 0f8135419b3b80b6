package org.crocusturn.core.entryhosts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.endpoints.EndpointCommandResult;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.Workspace;

/**
 * Simulation of a control leader with fake entry hosts and endpoints. The seed determines all
 * delays, losses, duplicates and faults, so that a run is reproducible.
 */
final class ClusterSimulation {
    static final long MS = 1_000_000L;
    static final List<DataCentreId> DATA_CENTRES =
            List.of(DataCentreId.of("north"), DataCentreId.of("south"));

    private record Event(long at, long order, Runnable action) {}

    private record Write(FakeEntryHost host, long incarnation, GroupId group, long term, long id) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::order));
    final SplittableRandom mRandom;
    private final UnaryOperator<LeaderState> mInjectedFault;
    private final boolean mFaultFree;
    private final ControlLeader mControlLeader = ControlLeader.standard();
    final Map<HostId, FakeEntryHost> mHosts = new TreeMap<>();
    final Map<EndpointId, FakeEndpoint> mEndpoints = new TreeMap<>();
    final Map<WorkspaceId, Double> mLoadFactors = new TreeMap<>();
    private final Map<WorkspaceId, double[]> mSpentLevels = new HashMap<>();
    private final Map<GroupId, Set<Long>> mAcknowledgedWrites = new TreeMap<>();
    private final Map<GroupId, Long> mLastAckNanos = new TreeMap<>();
    private final Map<String, EndpointId> mPrimariesByTerm = new HashMap<>();
    final List<String> mViolations = new ArrayList<>();
    private List<ControlCommand> mPendingProposals = new ArrayList<>();
    ControlState mControl = ControlState.EMPTY;
    private LeaderState mLeaderState = LeaderState.idle();
    private FakeClock mLeaderClock;
    private boolean mLeads;
    private long mTerm;
    private long mLeaderPausedUntil;
    private long mNowNanos;
    private long mOrder;
    private long mIds;
    long mAcknowledgements;
    long mSpentTokens;
    long mLongestWaitNanos;
    long mLongestGapNanos;
    long mPromotions;
    long mAssignments;

    ClusterSimulation(long seed, boolean faultFree, UnaryOperator<LeaderState> fault) {
        mRandom = new SplittableRandom(seed);
        mFaultFree = faultFree;
        mInjectedFault = fault;
        for (int i = 0; i < 4; i++) {
            HostId id = HostId.of("entry-" + i);
            FakeEntryHost host =
                    new FakeEntryHost(id, DATA_CENTRES.get(i % 2), clock(), mRandom.nextLong());
            mHosts.put(id, host);
            every(200 * MS, () -> report(host));
        }
        for (int i = 0; i < 3; i++) {
            FakeEndpoint endpoint = new FakeEndpoint(record(i));
            mEndpoints.put(endpoint.mRecord.id(), endpoint);
            every(100 * MS, () -> observe(endpoint));
            every(1000 * MS, () -> announce(endpoint));
        }
        for (int i = 0; i < 4; i++) {
            WorkspaceId workspace = WorkspaceId.of("w" + i);
            mLoadFactors.put(workspace, faultFree ? 0.5 : i == 0 ? 5.0 : 0.9);
            int prefetchTokens = i == 1 ? 25 : 3;
            mHosts.values().forEach(h -> h.mPrefetchTokens.put(workspace, prefetchTokens));
        }
        commit(new ControlCommand.ApplyConfiguration("first", configuration()));
        every(20 * MS, this::tick);
        every(10 * MS, this::replicate);
        every(10 * MS, this::runHosts);
        startLeader();
        if (!faultFree) {
            every(400 * MS, this::injectFault);
        }
    }

    private static EndpointRecord record(int i) {
        List<DatabaseRecord> databases =
                List.of(new DatabaseRecord("a", 2, 16), new DatabaseRecord("b", 2, 16));
        return new EndpointRecord(
                EndpointId.of("db-" + i),
                "s",
                DATA_CENTRES.get(i % 2),
                "127.0.0.1:" + i,
                "127.0.0.1:" + i,
                databases,
                false);
    }

    private static Configuration configuration() {
        List<Workspace> workspaces = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Map<String, String> placed = i < 2 ? Map.of("s", i == 0 ? "a" : "b") : Map.of();
            RateLimit rate = new RateLimit(i == 3 ? 4 : 60, i == 3 ? 4 : 30);
            workspaces.add(new Workspace(WorkspaceId.of("w" + i), rate, Set.of("s"), placed));
        }
        Service service =
                new Service("s", List.of("a", "b"), 3, 2, 16, AcknowledgeMode.DURABLE, true);
        return new Configuration(1, DATA_CENTRES, workspaces, List.of(service), List.of());
    }

    private FakeClock clock() {
        return new FakeClock(0.99 + mRandom.nextDouble() * 0.02, mRandom.nextLong() >> 4);
    }

    /** Runs until a time, or until five violations are found, and returns the violations. */
    List<String> run(long untilNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().at() <= untilNanos && mViolations.size() < 5) {
            Event event = mEvents.poll();
            mNowNanos = event.at();
            event.action().run();
            checkLeases();
        }
        return mViolations;
    }

    private void after(long delay, Runnable action) {
        mEvents.add(new Event(mNowNanos + Math.max(1, delay), mOrder++, action));
    }

    private void every(long period, Runnable action) {
        after(
                (long) (period * (0.9 + 0.2 * mRandom.nextDouble())),
                () -> {
                    action.run();
                    every(period, action);
                });
    }

    private void send(Runnable delivery) {
        int kind = mFaultFree ? 50 : mRandom.nextInt(100);
        if (kind == 0) {
            return;
        }
        after(delay(kind), delivery);
        if (kind == 1) {
            after(delay(50), delivery);
        }
    }

    private long delay(int kind) {
        long base = MS / 2 + mRandom.nextLong(2 * MS);
        return kind < 6 ? base + mRandom.nextLong(1500 * MS) : base;
    }

    private void startLeader() {
        mPendingProposals.stream()
                .filter(c -> mRandom.nextBoolean())
                .toList()
                .forEach(this::commit);
        mPendingProposals = new ArrayList<>();
        mLeads = true;
        mLeaderClock = clock();
        mLeaderState = LeaderState.idle();
        feed(new LeaderInput.LeadershipGained(++mTerm, mControl));
        mLeaderState = mInjectedFault.apply(mLeaderState);
    }

    private void feed(LeaderInput input) {
        if (!mLeads) {
            return;
        }
        if (mNowNanos < mLeaderPausedUntil) {
            long term = mTerm;
            after(mLeaderPausedUntil - mNowNanos, () -> feed(input, term));
            return;
        }
        Decision<LeaderState, LeaderAction> decision =
                mControlLeader.step(mLeaderState, input, mLeaderClock.at(mNowNanos));
        mLeaderState = decision.state();
        decision.actions().forEach(this::execute);
    }

    private void feed(LeaderInput input, long term) {
        if (term == mTerm) {
            feed(input);
        }
    }

    private void execute(LeaderAction action) {
        long term = mTerm;
        if (action instanceof LeaderAction.Propose propose) {
            mPendingProposals.add(propose.command());
            after(
                    2 * MS + mRandom.nextLong(10 * MS),
                    () -> commitProposed(propose.command(), term));
        } else if (action instanceof LeaderAction.SendUpdate update) {
            FakeEntryHost host = mHosts.get(update.host());
            long incarnation = host.mIncarnation;
            send(() -> deliver(host, incarnation, update));
        } else if (action instanceof LeaderAction.SendCommand command) {
            send(() -> run(command.command(), term));
        }
    }

    private void commitProposed(ControlCommand command, long term) {
        if (mLeads && term == mTerm && mPendingProposals.remove(command)) {
            commit(command);
        }
    }

    private void commit(ControlCommand command) {
        ControlState before = mControl;
        long version = mControl.version() + 1;
        mControl = ControlStateMachine.apply(mControl, version, command).state();
        if (command instanceof ControlCommand.CompletePromotion complete
                && !before.groups().equals(mControl.groups())) {
            mPromotions++;
            checkAcknowledgedWritesKept(complete);
        }
        mAssignments += command instanceof ControlCommand.AssignLease ? 1 : 0;
        feed(new LeaderInput.CommandApplied(version, command, mControl));
    }

    private void deliver(FakeEntryHost host, long incarnation, LeaderAction.SendUpdate update) {
        if (host.mIncarnation != incarnation || mNowNanos < host.mDisconnectedUntil) {
            return;
        }
        if (mNowNanos < host.mFrozenUntil) {
            after(host.mFrozenUntil - mNowNanos, () -> deliver(host, incarnation, update));
        } else if (host.update(update.update(), mNowNanos)) {
            report(host);
        }
    }

    private void report(FakeEntryHost host) {
        if (mNowNanos < host.mFrozenUntil || mNowNanos < host.mDisconnectedUntil) {
            return;
        }
        LeaderInput input = new LeaderInput.ReportReceived(host.report(mNowNanos));
        long term = mTerm;
        send(() -> feed(input, term));
    }

    private void run(EndpointCommand command, long term) {
        FakeEndpoint endpoint = mEndpoints.get(command.endpoint());
        if (!endpoint.isUp(mNowNanos)) {
            return;
        }
        var status = endpoint.run(command);
        if (command instanceof EndpointCommand.Promote) {
            checkPromotion(GroupId.of("s", command.database()), command);
        }
        EndpointCommandResult result = new EndpointCommandResult(command, Optional.of(status));
        send(() -> feed(new LeaderInput.CommandFinished(result), term));
    }

    private void observe(FakeEndpoint endpoint) {
        EndpointId id = endpoint.mRecord.id();
        long term = mTerm;
        if (endpoint.isUp(mNowNanos)) {
            EndpointObservation seen =
                    new EndpointObservation.StatusReceived(id, endpoint.statuses());
            send(() -> feed(new LeaderInput.EndpointObserved(seen), term));
        } else if (mNowNanos < endpoint.mDownUntil) {
            EndpointObservation refused = new EndpointObservation.ConnectionRefused(id);
            send(() -> feed(new LeaderInput.EndpointObserved(refused), term));
        }
    }

    private void announce(FakeEndpoint endpoint) {
        if (endpoint.isUp(mNowNanos) && endpoint.mAnnounces) {
            feed(new LeaderInput.AnnouncementReceived(endpoint.mRecord));
        }
    }

    private void tick() {
        feed(new LeaderInput.Tick());
    }

    private void replicate() {
        for (FakeEndpoint endpoint : mEndpoints.values()) {
            endpoint.mCopies.forEach(
                    (name, copy) -> {
                        FakeEndpoint from =
                                mEndpoints.get(EndpointId.of("db-" + copy.mPrimaryNumber));
                        boolean connected =
                                from != null && from.isUp(mNowNanos) && endpoint.isUp(mNowNanos);
                        if (connected && mRandom.nextInt(3) > 0) {
                            FakeEndpoint.replicate(
                                    from.mCopies.get(name), copy, mRandom.nextInt(20));
                        }
                    });
        }
    }

    private void runHosts() {
        for (FakeEntryHost host : mHosts.values()) {
            boolean running = mNowNanos >= host.mFrozenUntil;
            for (GroupId group :
                    running ? List.copyOf(host.mLeases.keySet()) : List.<GroupId>of()) {
                release(host, host.mLeases.get(group));
                write(host, group);
            }
        }
        mControl.configuration().workspaces().forEach(this::offerLoad);
    }

    private void release(FakeEntryHost host, FakeEntryHost.LocalLease held) {
        if (held.mReleaseRequested && !held.mReleased && mRandom.nextInt(5) == 0) {
            held.mReleased = true;
            report(host);
        }
    }

    private void write(FakeEntryHost host, GroupId group) {
        long term = host.ackTerm(group, mNowNanos);
        var primary =
                Optional.ofNullable(host.mState.groups().get(group)).flatMap(g -> g.primary());
        if (term == 0 || primary.isEmpty() || !mEndpoints.get(primary.get()).isUp(mNowNanos)) {
            return;
        }
        Write write = new Write(host, host.mIncarnation, group, term, ++mIds);
        FakeEndpoint.Entry entry = new FakeEndpoint.Entry(term, write.id());
        if (mEndpoints.get(primary.get()).append(group.database(), entry)) {
            after(delay(mRandom.nextInt(100)) + 5 * MS, () -> acknowledge(write));
        }
    }

    // The entry host checks the lease and the replicas when it answers.
    private void acknowledge(Write write) {
        FakeEntryHost host = write.host();
        if (mNowNanos < host.mFrozenUntil) {
            after(host.mFrozenUntil - mNowNanos, () -> acknowledge(write));
            return;
        }
        FakeEndpoint.Entry entry = new FakeEndpoint.Entry(write.term(), write.id());
        long copies =
                mEndpoints.values().stream()
                        .map(e -> e.mCopies.get(write.group().database()))
                        .filter(c -> c.mTerm == write.term() && c.mLog.lastIndexOf(entry) >= 0)
                        .count();
        boolean allowed =
                host.mIncarnation == write.incarnation()
                        && host.ackTerm(write.group(), mNowNanos) == write.term();
        if (allowed && copies >= 2) {
            mAcknowledgements++;
            Long last = mLastAckNanos.put(write.group(), mNowNanos);
            mLongestGapNanos = Math.max(mLongestGapNanos, last == null ? 0 : mNowNanos - last);
            mAcknowledgedWrites
                    .computeIfAbsent(write.group(), g -> new HashSet<>())
                    .add(write.id());
            var current = mControl.groups().get(write.group());
            check(
                    current.term() == write.term() || current.primary().isEmpty(),
                    "acknowledged at term " + write.term() + " after term " + current.term());
        }
    }

    private void offerLoad(Workspace workspace) {
        double rate = workspace.rate().perSecond() * loadFactor(workspace.id());
        GroupId group = mControl.groupOf(workspace.id(), "s").orElseThrow();
        for (FakeEntryHost host : mHosts.values()) {
            if (mNowNanos < host.mFrozenUntil) {
                continue;
            }
            var waiting = host.waiting(workspace.id());
            boolean holds = host.holds(group, mNowNanos);
            int arrivals = (int) (rate / 100 + mRandom.nextDouble());
            for (int i = 0; holds && i < arrivals && waiting.size() < 60; i++) {
                waiting.add(mNowNanos);
            }
            if (!holds) {
                waiting.clear();
            }
            while (!waiting.isEmpty() && host.spend(workspace.id(), mNowNanos)) {
                long wait = mNowNanos - waiting.poll();
                mLongestWaitNanos = Math.max(mLongestWaitNanos, wait);
                recordSpentToken(workspace);
            }
            if (!waiting.isEmpty()) {
                mLongestWaitNanos = Math.max(mLongestWaitNanos, mNowNanos - waiting.peek());
            }
        }
    }

    // One workspace is idle most of the time and then sends its whole burst at once.
    private double loadFactor(WorkspaceId workspace) {
        boolean bursts = !mFaultFree && workspace.equals(WorkspaceId.of("w1"));
        if (bursts) {
            return mNowNanos / MS % 1300 < 1200 ? 0 : 100;
        }
        return mLoadFactors.get(workspace);
    }

    // A leaky bucket in simulated time detects a violation in any window; 1% allows for the rate
    // of the leader's clock.
    private void recordSpentToken(Workspace workspace) {
        mSpentTokens++;
        double[] level = mSpentLevels.computeIfAbsent(workspace.id(), w -> new double[2]);
        double drained = workspace.rate().perSecond() * 1.01 * (mNowNanos - level[1]) / (1000 * MS);
        level[0] = Math.max(0, level[0] - drained) + 1;
        level[1] = mNowNanos;
        check(level[0] <= workspace.rate().burst() + 1e-6, workspace.id() + " exceeded its rate");
    }

    private void injectFault() {
        FakeEntryHost host = List.copyOf(mHosts.values()).get(mRandom.nextInt(mHosts.size()));
        FakeEndpoint endpoint =
                List.copyOf(mEndpoints.values()).get(mRandom.nextInt(mEndpoints.size()));
        long time = 50 * MS + mRandom.nextLong(2500 * MS);
        switch (mRandom.nextInt(9)) {
            case 0 -> host.mFrozenUntil = mNowNanos + time;
            case 1 -> host.mDisconnectedUntil = mNowNanos + time;
            case 2 -> {
                host.restart(mRandom.nextLong());
                feed(new LeaderInput.EntryLinkClosed(host.mId));
            }
            case 3 -> feed(new LeaderInput.EntryLinkClosed(host.mId));
            case 4 -> endpoint.crash(mNowNanos + time);
            case 5 -> endpoint.mFrozenUntil = mNowNanos + time;
            case 6 -> {
                mLeads = false;
                after(20 * MS + mRandom.nextLong(680 * MS), this::startLeader);
            }
            case 7 -> mLeaderPausedUntil = mNowNanos + mRandom.nextLong(250 * MS);
            default -> {
                boolean drained = mControl.drained().isEmpty();
                DataCentreId dataCentre = DATA_CENTRES.get(mRandom.nextInt(2));
                DATA_CENTRES.forEach(c -> drain(c, drained && c.equals(dataCentre)));
            }
        }
    }

    void drain(DataCentreId dataCentre, boolean drained) {
        commit(new ControlCommand.SetDataCentreDrained("d" + ++mIds, dataCentre, drained));
    }

    /** Returns the primary of a group. */
    FakeEndpoint primary(GroupId group) {
        return mEndpoints.get(mControl.groups().get(group).primary().orElseThrow());
    }

    /** Returns whether a data centre still has a primary or a leaseholder. */
    boolean hasWork(DataCentreId dataCentre) {
        return mControl.groups().values().stream()
                .anyMatch(
                        g ->
                                primary(g.id()).mRecord.dataCentre().equals(dataCentre)
                                        || mHosts.values().stream()
                                                .filter(h -> h.mDataCentre.equals(dataCentre))
                                                .anyMatch(h -> h.holds(g.id(), mNowNanos)));
    }

    private void checkLeases() {
        for (GroupId group : mControl.groups().keySet()) {
            long holders = mHosts.values().stream().filter(h -> h.holds(group, mNowNanos)).count();
            check(holders <= 1, holders + " hosts hold " + group);
        }
    }

    private void checkPromotion(GroupId group, EndpointCommand command) {
        long term = ((EndpointCommand.Promote) command).term();
        EndpointId earlier = mPrimariesByTerm.putIfAbsent(group + ":" + term, command.endpoint());
        check(
                earlier == null || earlier.equals(command.endpoint()),
                earlier + " and " + command.endpoint() + " are primaries of term " + term);
        for (FakeEntryHost host : mHosts.values()) {
            long acknowledges = host.ackTerm(group, mNowNanos);
            check(
                    acknowledges == 0 || acknowledges >= term,
                    host.mId + " can acknowledge term " + acknowledges + " at promotion " + term);
        }
    }

    private void checkAcknowledgedWritesKept(ControlCommand.CompletePromotion complete) {
        Set<Long> kept = new HashSet<>();
        mEndpoints
                .get(complete.primary())
                .mCopies
                .get(complete.group().database())
                .mLog
                .forEach(e -> kept.add(e.id()));
        check(
                kept.containsAll(mAcknowledgedWrites.getOrDefault(complete.group(), Set.of())),
                "promotion of " + complete + " lost acknowledged writes");
    }

    private void check(boolean holds, String violation) {
        if (!holds) {
            mViolations.add("at " + mNowNanos / MS + " ms: " + violation);
        }
    }
}
