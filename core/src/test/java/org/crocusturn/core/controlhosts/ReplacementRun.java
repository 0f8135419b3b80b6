package org.crocusturn.core.controlhosts;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlCommand;

/**
 * A group whose members {@link MembershipPolicy} maintains, in virtual time and without lost
 * messages. Hosts depart for good, are replaced, lose their disks and lose power.
 */
final class ReplacementRun implements ScheduleNetwork {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_NANOS = 20 * NANOS_PER_MILLI;
    private static final long TRANSFER_NANOS = 100 * NANOS_PER_MILLI;
    private static final String LINK_ADDRESS = "127.0.0.1:1";

    private final Random mRandom = new Random(1);
    private final ScheduleChecks mChecks = new ScheduleChecks();
    private final Map<HostId, ScheduleHost> mHosts = new TreeMap<>();
    private final Set<HostId> mDeparted = new HashSet<>();
    private final VirtualTime mTime = new VirtualTime();
    private final Membership mInitialMembership;
    private final Map<ControlCommand, Long> mProposalIds = new HashMap<>();
    private Set<HostId> mSeeds;
    private long mProposals;
    private int mMaxDelayMillis = 3;

    private ReplacementRun(Membership initialMembership) {
        mInitialMembership = initialMembership;
        mSeeds = initialMembership.members().stream().map(Member::host).collect(Collectors.toSet());
    }

    /** Starts a group with three first voters; further hosts join. */
    static ReplacementRun start(List<HostId> hosts) {
        Membership first =
                new Membership(
                        hosts.stream()
                                .limit(3)
                                .map(h -> new Member(h, LINK_ADDRESS, true))
                                .toList());
        ReplacementRun run = new ReplacementRun(first);
        ScheduleDisk disk = ScheduleDisk.ofNewGroup(first);
        first.members().forEach(m -> run.startNew(m.host(), Optional.of(disk)));
        hosts.stream().skip(3).forEach(run::startEmpty);
        run.mTime.schedule(0, run::maintainMembers);
        return run;
    }

    @Override
    public long nowNanos() {
        return mTime.nowNanos();
    }

    @Override
    public void send(HostId from, ConsensusAction.Send send) {
        mTime.schedule(
                (1 + mRandom.nextInt(mMaxDelayMillis)) * NANOS_PER_MILLI,
                () ->
                        Optional.ofNullable(mHosts.get(send.to()))
                                .ifPresent(
                                        to ->
                                                to.step(
                                                        new ConsensusInput.Received(
                                                                from, send.message()))));
    }

    @Override
    public void write(ScheduleHost host) {
        int start = host.startCount();
        mTime.schedule(NANOS_PER_MILLI, () -> host.finishWrite(start));
    }

    void advance(Duration time) {
        long end = nowNanos() + time.toNanos();
        // The clock stops at the last task, and this one is at the end.
        mTime.schedule(time.toNanos(), () -> {});
        mTime.advanceTo(end, () -> {});
    }

    /** Starts a host with an empty disk, which asks to join. */
    void startEmpty(HostId host) {
        startNew(host, Optional.empty());
    }

    /** Stops a host for good. */
    void depart(HostId host) {
        mDeparted.add(host);
        mHosts.get(host).loseDisk();
    }

    /** Hands the leadership and the vote of a host over, as a host does before it stops. */
    void resign(HostId host) {
        ScheduleHost resigning = mHosts.get(host);
        resigning.step(new ConsensusInput.TransferRequested());
        mTime.schedule(TRANSFER_NANOS, () -> resigning.step(new ConsensusInput.ResignRequested()));
    }

    /** Takes the power from all hosts at once and the disks from some; all start again. */
    void losePower(Set<HostId> lostDisks) {
        losePower(lostDisks, host -> Duration.ZERO);
    }

    /**
     * Takes the power from all hosts at once and the disks from some. Unconfirmed writes reach the
     * disk or not.
     *
     * @param downTime time after which each host starts again
     */
    void losePower(Set<HostId> lostDisks, Function<HostId, Duration> downTime) {
        present().forEach(host -> host.crash(mRandom.nextInt(3)));
        lostDisks.forEach(host -> mHosts.get(host).loseDisk());
        present()
                .forEach(
                        host ->
                                mTime.schedule(
                                        downTime.apply(host.host()).toNanos(),
                                        () -> restart(host)));
    }

    /** Sets the longest time that a message takes, with the time in which its host handles it. */
    void setMaxDelay(Duration delay) {
        mMaxDelayMillis = Math.toIntExact(delay.toMillis());
    }

    /** Replaces the hosts that a host without a log asks to join. */
    void setSeeds(Set<HostId> seeds) {
        mSeeds = Set.copyOf(seeds);
    }

    /** Proposes a command on the leader and returns it. */
    ControlCommand propose() {
        ControlCommand command =
                new ControlCommand.RemoveEndpoint(EndpointId.of("e" + ++mProposals));
        mProposalIds.put(command, mProposals);
        leader().orElseThrow().step(new ConsensusInput.Propose(mProposals, command));
        return command;
    }

    /** Returns whether a command was reported as committed. */
    boolean isAcknowledged(ControlCommand command) {
        return mChecks.isAcknowledged(mProposalIds.get(command));
    }

    /** Returns the host whose leader lease is valid, if there is one. */
    Optional<ScheduleHost> leader() {
        return present().stream().filter(h -> h.isLeaseValid(nowNanos())).findFirst();
    }

    /** Returns the hosts that have not departed. */
    List<ScheduleHost> present() {
        return mHosts.values().stream().filter(h -> !mDeparted.contains(h.host())).toList();
    }

    private void startNew(HostId name, Optional<ScheduleDisk> disk) {
        ScheduleHost host = new ScheduleHost(name, this, mChecks, 0, 1);
        disk.ifPresent(host::setDisk);
        mHosts.put(name, host);
        restart(host);
        tick(host);
    }

    private void restart(ScheduleHost host) {
        host.start(
                ScheduleFault.NONE.start(
                        host.host(),
                        host.disk(),
                        mInitialMembership,
                        mRandom.nextLong(),
                        nowNanos()));
    }

    private void tick(ScheduleHost host) {
        host.step(new ConsensusInput.Tick());
        mTime.schedule(TICK_NANOS, () -> tick(host));
    }

    /** Lets hosts that are no members join, and makes the change that is due, as leaders do. */
    private void maintainMembers() {
        long interval = MembershipPolicy.CHECK_INTERVAL_NANOS;
        Map<HostId, String> joining =
                present().stream()
                        .map(ScheduleHost::state)
                        .flatMap(Optional::stream)
                        .filter(state -> state.membership().member(state.self()).isEmpty())
                        .filter(this::reachesLeader)
                        .collect(Collectors.toMap(ConsensusState::self, state -> LINK_ADDRESS));
        Optional<ScheduleHost> leader = leader();
        if (leader.isPresent()) {
            ConsensusState state = leader.get().state().orElseThrow();
            Optional<MembershipChange> change =
                    MembershipPolicy.next(
                            state.membership(),
                            joining,
                            Consensus.replaceableMembers(
                                    state, MembershipPolicy.REPLACEMENT_SILENCE_NANOS, nowNanos()),
                            Consensus.caughtUpMembers(state));
            if (change.isPresent()) {
                leader.get().step(new ConsensusInput.ChangeMembership(++mProposals, change.get()));
                interval = MembershipPolicy.FOLLOW_UP_INTERVAL_NANOS;
            }
        }
        mTime.schedule(interval, this::maintainMembers);
    }

    /** Returns whether a host knows one that leads or passes a request on to the leader. */
    private boolean reachesLeader(ConsensusState asking) {
        Set<HostId> known =
                asking.membership().members().isEmpty()
                        ? mSeeds
                        : asking.membership().members().stream()
                                .map(Member::host)
                                .collect(Collectors.toSet());
        return known.stream()
                .filter(host -> !mDeparted.contains(host))
                .flatMap(host -> Optional.ofNullable(mHosts.get(host)).stream())
                .flatMap(host -> host.state().stream())
                .anyMatch(state -> state.leaderHint().isPresent());
    }
}
