package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlCommand;

/** Simulates a random schedule of messages, crashes and changes in virtual time. */
final class ScheduleRun implements ScheduleNetwork {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long FAULT_PHASE_NANOS = 8_000 * NANOS_PER_MILLI;
    private static final long RECOVERY_PHASE_NANOS = 4_000 * NANOS_PER_MILLI;

    private final Random mRandom;
    private final ScheduleFault mFault;
    private final ScheduleChecks mChecks = new ScheduleChecks();
    private final Map<HostId, ScheduleHost> mHosts = new TreeMap<>();
    private final VirtualTime mTime = new VirtualTime();
    private final Membership mInitialMembership;
    private final boolean mSlowDisks;
    private Set<HostId> mPartition = Set.of();
    private boolean mFaultsEnded;
    private long mProposals;

    private ScheduleRun(long seed, ScheduleFault fault) {
        mRandom = new Random(seed);
        mFault = fault;
        mSlowDisks = seed % 2 == 0;
        int voters = seed % 3 == 0 ? 5 : 3;
        List<HostId> names =
                IntStream.rangeClosed(1, voters + 1).mapToObj(n -> HostId.of("c" + n)).toList();
        mInitialMembership =
                new Membership(
                        names.subList(0, voters).stream()
                                .map(h -> new Member(h, "127.0.0.1:1", true))
                                .toList());
        names.forEach(this::addHost);
    }

    /** Runs the schedule of a seed and returns the number of committed entries. */
    static int run(long seed, ScheduleFault fault) {
        ScheduleRun run = new ScheduleRun(seed, fault);
        run.start();
        run.mTime.advanceTo(FAULT_PHASE_NANOS, run::checkLeases);
        run.endFaults();
        run.mTime.advanceTo(FAULT_PHASE_NANOS + RECOVERY_PHASE_NANOS, run::checkLeases);
        if (fault == ScheduleFault.NONE) {
            run.checkLiveness();
        }
        return run.mChecks.committedCount();
    }

    @Override
    public long nowNanos() {
        return mTime.nowNanos();
    }

    /** Delivers a message after a random delay; it may be lost or duplicated. */
    @Override
    public void send(HostId from, ConsensusAction.Send send) {
        int copies =
                mFaultsEnded ? 1 : mRandom.nextInt(20) == 0 ? 0 : mRandom.nextInt(20) == 0 ? 2 : 1;
        for (int n = 0; n < copies; n++) {
            boolean late = !mFaultsEnded && mRandom.nextInt(30) == 0;
            long delay = 1 + mRandom.nextInt(late ? 1_500 : 8);
            mTime.schedule(delay * NANOS_PER_MILLI, () -> deliver(from, send));
        }
    }

    /** Completes the oldest write of a host after a random delay. */
    @Override
    public void write(ScheduleHost host) {
        int start = host.startCount();
        boolean slow = !mFaultsEnded && mRandom.nextInt(mSlowDisks ? 2 : 10) == 0;
        mTime.schedule(
                mRandom.nextInt(slow ? 200 : 5) * NANOS_PER_MILLI, () -> host.finishWrite(start));
    }

    private void addHost(HostId name) {
        double rate = 1 + (mRandom.nextDouble() - 0.5) / 100;
        mHosts.put(
                name, new ScheduleHost(name, this, mChecks, mRandom.nextInt(1_000_000_000), rate));
    }

    private void start() {
        ScheduleDisk disk = ScheduleDisk.ofNewGroup(mInitialMembership);
        for (Member member : mInitialMembership.members()) {
            ScheduleHost host = mHosts.get(member.host());
            host.setDisk(disk);
            start(host);
        }
        mHosts.values().forEach(host -> mTime.schedule(0, () -> tick(host)));
        mTime.schedule(NANOS_PER_MILLI, this::injectFault);
        mTime.schedule(NANOS_PER_MILLI, this::proposeCommands);
    }

    private void tick(ScheduleHost host) {
        host.step(new ConsensusInput.Tick());
        mTime.schedule((5 + mRandom.nextInt(10)) * NANOS_PER_MILLI, () -> tick(host));
    }

    private void deliver(HostId from, ConsensusAction.Send send) {
        boolean separated = mPartition.contains(from) != mPartition.contains(send.to());
        if (!separated) {
            mHosts.get(send.to()).step(new ConsensusInput.Received(from, send.message()));
        }
    }

    private void proposeCommands() {
        for (ScheduleHost host : mHosts.values()) {
            if (mRandom.nextInt(host.isLeader() ? 1 : 20) == 0) {
                host.step(
                        new ConsensusInput.Propose(
                                ++mProposals,
                                new ControlCommand.RemoveEndpoint(
                                        EndpointId.of("e" + mProposals))));
            }
        }
        mTime.schedule((5 + mRandom.nextInt(40)) * NANOS_PER_MILLI, this::proposeCommands);
    }

    private void injectFault() {
        if (mFaultsEnded) {
            return;
        }
        ScheduleHost host = randomHost();
        switch (mRandom.nextInt(14)) {
            case 0 -> mPartition = Set.of(host.host());
            case 1 -> mPartition = Set.copyOf(List.of(host.host(), randomHost().host()));
            case 2, 3 -> mPartition = Set.of();
            case 4, 5 -> host.crash(mRandom.nextInt(3));
            case 6, 7 -> mHosts.values().forEach(this::restart);
            case 8 -> loseDisk(host);
            case 9 -> host.step(new ConsensusInput.TransferRequested());
            case 10 -> changeMembership();
            case 11 -> losePower();
            case 12 -> restartAsPlanned(host);
            default -> host.takeSnapshot();
        }
        mTime.schedule((20 + mRandom.nextInt(250)) * NANOS_PER_MILLI, this::injectFault);
    }

    private ScheduleHost randomHost() {
        return new ArrayList<>(mHosts.values()).get(mRandom.nextInt(mHosts.size()));
    }

    private void restart(ScheduleHost host) {
        boolean member = host.startCount() > 0;
        if (!host.isUp() && (member || mRandom.nextInt(4) == 0)) {
            start(host);
        }
    }

    private void start(ScheduleHost host) {
        long now = host.clock(nowNanos());
        host.start(
                mFault.start(
                        host.host(), host.disk(), mInitialMembership, mRandom.nextLong(), now));
    }

    /** Lets a host resign, and restarts it some time later. */
    private void restartAsPlanned(ScheduleHost host) {
        host.step(new ConsensusInput.ResignRequested());
        mTime.schedule(
                (20 + mRandom.nextInt(500)) * NANOS_PER_MILLI,
                () -> {
                    host.crash(2);
                    restart(host);
                });
    }

    /** Stops all hosts at once, so that only synced state survives. */
    private void losePower() {
        mHosts.values().forEach(host -> host.crash(mRandom.nextInt(2)));
        mHosts.values().forEach(this::restart);
    }

    private void loseDisk(ScheduleHost lost) {
        Set<HostId> withoutDisk = new HashSet<>(hostsWithoutDisk());
        withoutDisk.add(lost.host());
        boolean keepsMajorities =
                memberships().stream()
                        .allMatch(
                                m ->
                                        m.voters().size() - votersWithoutDisk(m, withoutDisk)
                                                >= m.majoritySize());
        if (keepsMajorities && lost.startCount() > 0) {
            lost.loseDisk();
            if (mRandom.nextBoolean()) {
                restart(lost);
            }
        }
    }

    private Set<HostId> hostsWithoutDisk() {
        return mHosts.values().stream()
                .filter(h -> h.startCount() > 0 && !h.isDiskIntact())
                .map(ScheduleHost::host)
                .collect(Collectors.toSet());
    }

    private static long votersWithoutDisk(Membership membership, Set<HostId> withoutDisk) {
        return membership.voters().stream().filter(m -> withoutDisk.contains(m.host())).count();
    }

    private List<Membership> memberships() {
        List<Membership> all = new ArrayList<>();
        all.add(mInitialMembership);
        mHosts.values().stream()
                .flatMap(ScheduleHost::memberships)
                .filter(m -> !m.members().isEmpty())
                .forEach(all::add);
        return all;
    }

    private void changeMembership() {
        mHosts.values().stream().filter(ScheduleHost::isLeader).forEach(this::changeMembership);
    }

    private void changeMembership(ScheduleHost leader) {
        HostId host = randomHost().host();
        Optional<Member> member = leader.state().orElseThrow().membership().member(host);
        boolean risky = member.filter(Member::voter).isPresent() && !hostsWithoutDisk().isEmpty();
        if (risky) {
            return;
        }
        MembershipChange change =
                member.isEmpty()
                        ? new MembershipChange.AddLearner(host, "127.0.0.1:1")
                        : member.get().voter()
                                ? new MembershipChange.Remove(host)
                                : new MembershipChange.Promote(host);
        leader.step(new ConsensusInput.ChangeMembership(++mProposals, change));
    }

    private void endFaults() {
        mFaultsEnded = true;
        mPartition = Set.of();
        mHosts.values().stream().filter(h -> h.startCount() > 0).forEach(this::restart);
    }

    private void checkLeases() {
        long holders = mHosts.values().stream().filter(h -> h.isLeaseValid(nowNanos())).count();
        ScheduleChecks.check(holders <= 1, holders + " hosts hold the leader lease");
    }

    private void checkLiveness() {
        Optional<ScheduleHost> leader =
                mHosts.values().stream().filter(h -> h.isLeaseValid(nowNanos())).findFirst();
        ScheduleChecks.check(
                leader.isPresent(),
                "no leader after the faults ended: "
                        + mHosts.values().stream()
                                .map(h -> h.host() + " " + h.state().map(this::describe))
                                .toList());
        ConsensusState state = leader.get().state().orElseThrow();
        state.membership().voters().stream()
                .map(m -> mHosts.get(m.host()))
                .forEach(
                        h ->
                                ScheduleChecks.check(
                                        h.isDiskIntact()
                                                && h.state().orElseThrow().commitIndex()
                                                        >= state.commitIndex() - 20,
                                        h.host() + " has not caught up after the faults ended"));
    }

    private String describe(ConsensusState state) {
        return state.hardState()
                + " commit "
                + state.commitIndex()
                + " last "
                + state.log().lastPosition()
                + " voters "
                + state.membership().voters().stream().map(Member::host).toList()
                + " "
                + state.role().getClass().getSimpleName();
    }
}
