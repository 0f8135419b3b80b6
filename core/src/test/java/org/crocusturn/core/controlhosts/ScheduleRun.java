package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlCommand;

/** Simulates a random schedule of messages, crashes and changes in virtual time. */
final class ScheduleRun {
    private static final long MILLI = 1_000_000;
    private static final long FAULTY_NANOS = 8_000 * MILLI;
    private static final long CALM_NANOS = 4_000 * MILLI;

    private record Event(long atNanos, long number, Runnable work) {}

    private final Random mRandom;
    private final ScheduleFault mFault;
    private final ScheduleChecks mChecks = new ScheduleChecks();
    private final Map<HostId, ScheduleHost> mHosts = new TreeMap<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final Membership mFirst;
    private final boolean mSlowDisks;
    private Set<HostId> mCutOff = Set.of();
    private boolean mCalm;
    private long mNowNanos;
    private long mNumber;
    private long mProposals;

    private ScheduleRun(long seed, ScheduleFault fault) {
        mRandom = new Random(seed);
        mFault = fault;
        mSlowDisks = seed % 2 == 0;
        int voters = seed % 3 == 0 ? 5 : 3;
        List<HostId> names =
                IntStream.rangeClosed(1, voters + 1).mapToObj(n -> HostId.of("c" + n)).toList();
        mFirst =
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
        run.advanceTo(FAULTY_NANOS);
        run.calm();
        run.advanceTo(FAULTY_NANOS + CALM_NANOS);
        if (fault == ScheduleFault.NONE) {
            run.checkLive();
        }
        return run.mChecks.committedCount();
    }

    long nowNanos() {
        return mNowNanos;
    }

    /** Delivers a message after a random delay; it may be lost or duplicated. */
    void send(HostId from, ConsensusAction.Send send) {
        int copies = mCalm ? 1 : mRandom.nextInt(20) == 0 ? 0 : mRandom.nextInt(20) == 0 ? 2 : 1;
        for (int n = 0; n < copies; n++) {
            boolean late = !mCalm && mRandom.nextInt(30) == 0;
            long delay = 1 + mRandom.nextInt(late ? 1_500 : 8);
            after(delay * MILLI, () -> deliver(from, send));
        }
    }

    /** Completes the oldest write of a host after a random delay. */
    void write(ScheduleHost host) {
        int start = host.starts();
        boolean slow = !mCalm && mRandom.nextInt(mSlowDisks ? 2 : 10) == 0;
        after(mRandom.nextInt(slow ? 200 : 5) * MILLI, () -> host.finishWrite(start));
    }

    private void addHost(HostId name) {
        double rate = 1 + (mRandom.nextDouble() - 0.5) / 100;
        mHosts.put(
                name, new ScheduleHost(name, this, mChecks, mRandom.nextInt(1_000_000_000), rate));
    }

    private void start() {
        Snapshot base =
                ConsensusState.bootstrapping(mFirst.members().get(0).host(), mFirst, 1, 0)
                        .log()
                        .base();
        for (Member member : mFirst.members()) {
            ScheduleHost host = mHosts.get(member.host());
            host.format(new ScheduleDisk(HardState.initial(false), base, List.of()));
            start(host);
        }
        mHosts.values().forEach(host -> after(0, () -> tick(host)));
        after(MILLI, this::disturb);
        after(MILLI, this::work);
    }

    private void advanceTo(long nanos) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= nanos) {
            Event event = mEvents.remove();
            mNowNanos = event.atNanos();
            event.work().run();
            checkLeases();
        }
    }

    private void after(long nanos, Runnable work) {
        mEvents.add(new Event(mNowNanos + nanos, mNumber++, work));
    }

    private void tick(ScheduleHost host) {
        host.step(new ConsensusInput.Tick());
        after((5 + mRandom.nextInt(10)) * MILLI, () -> tick(host));
    }

    private void deliver(HostId from, ConsensusAction.Send send) {
        boolean cut = mCutOff.contains(from) != mCutOff.contains(send.to());
        if (!cut) {
            mHosts.get(send.to()).step(new ConsensusInput.Received(from, send.message()));
        }
    }

    private void work() {
        for (ScheduleHost host : mHosts.values()) {
            if (mRandom.nextInt(host.leads() ? 1 : 20) == 0) {
                host.step(
                        new ConsensusInput.Propose(
                                ++mProposals,
                                new ControlCommand.RemoveEndpoint(
                                        EndpointId.of("e" + mProposals))));
            }
        }
        after((5 + mRandom.nextInt(40)) * MILLI, this::work);
    }

    private void disturb() {
        if (mCalm) {
            return;
        }
        ScheduleHost host = any();
        switch (mRandom.nextInt(13)) {
            case 0 -> mCutOff = Set.of(host.host());
            case 1 -> mCutOff = Set.copyOf(List.of(host.host(), any().host()));
            case 2, 3 -> mCutOff = Set.of();
            case 4, 5 -> host.crash(mRandom.nextInt(3));
            case 6, 7 -> mHosts.values().forEach(this::restart);
            case 8 -> loseDisk(host);
            case 9 -> host.step(new ConsensusInput.TransferRequested());
            case 10 -> changeMembership();
            case 11 -> losePower();
            default -> host.takeSnapshot();
        }
        after((20 + mRandom.nextInt(250)) * MILLI, this::disturb);
    }

    private ScheduleHost any() {
        return new ArrayList<>(mHosts.values()).get(mRandom.nextInt(mHosts.size()));
    }

    private void restart(ScheduleHost host) {
        boolean member = host.starts() > 0;
        if (!host.up() && (member || mRandom.nextInt(4) == 0)) {
            start(host);
        }
    }

    private void start(ScheduleHost host) {
        long now = host.clock(mNowNanos);
        host.start(mFault.start(host.host(), host.disk(), mFirst, mRandom.nextLong(), now));
    }

    /** Stops all hosts at once, so that only synced state survives. */
    private void losePower() {
        mHosts.values().forEach(host -> host.crash(mRandom.nextInt(2)));
        mHosts.values().forEach(this::restart);
    }

    private void loseDisk(ScheduleHost lost) {
        Set<HostId> broken = new HashSet<>(broken());
        broken.add(lost.host());
        boolean tolerable =
                memberships().stream()
                        .allMatch(m -> m.voters().size() - brokenVoters(m, broken) >= m.majority());
        if (tolerable && lost.starts() > 0) {
            lost.loseDisk();
            if (mRandom.nextBoolean()) {
                restart(lost);
            }
        }
    }

    private Set<HostId> broken() {
        return mHosts.values().stream()
                .filter(h -> h.starts() > 0 && !h.intact())
                .map(ScheduleHost::host)
                .collect(Collectors.toSet());
    }

    private static long brokenVoters(Membership membership, Set<HostId> broken) {
        return membership.voters().stream().filter(m -> broken.contains(m.host())).count();
    }

    private List<Membership> memberships() {
        List<Membership> all = new ArrayList<>();
        all.add(mFirst);
        mHosts.values().stream()
                .flatMap(ScheduleHost::memberships)
                .filter(m -> !m.members().isEmpty())
                .forEach(all::add);
        return all;
    }

    private void changeMembership() {
        mHosts.values().stream().filter(ScheduleHost::leads).forEach(this::changeMembership);
    }

    private void changeMembership(ScheduleHost leader) {
        HostId host = any().host();
        Optional<Member> member = leader.state().orElseThrow().membership().member(host);
        boolean risky = member.filter(Member::voter).isPresent() && !broken().isEmpty();
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

    private void calm() {
        mCalm = true;
        mCutOff = Set.of();
        mHosts.values().stream().filter(h -> h.starts() > 0).forEach(this::restart);
    }

    private void checkLeases() {
        long holders = mHosts.values().stream().filter(h -> h.leaseValid(mNowNanos)).count();
        ScheduleChecks.check(holders <= 1, holders + " hosts hold the leader lease");
    }

    private void checkLive() {
        Optional<ScheduleHost> leader =
                mHosts.values().stream().filter(h -> h.leaseValid(mNowNanos)).findFirst();
        ScheduleChecks.check(
                leader.isPresent(),
                "no leader after the faults ended: "
                        + mHosts.values().stream()
                                .map(h -> h.host() + " " + h.state().map(this::brief))
                                .toList());
        ConsensusState state = leader.get().state().orElseThrow();
        state.membership().voters().stream()
                .map(m -> mHosts.get(m.host()))
                .forEach(
                        h ->
                                ScheduleChecks.check(
                                        h.intact()
                                                && h.state().orElseThrow().commitIndex()
                                                        >= state.commitIndex() - 20,
                                        h.host() + " has not caught up after the faults ended"));
    }

    private String brief(ConsensusState state) {
        return state.hard()
                + " commit "
                + state.commitIndex()
                + " last "
                + state.log().last()
                + " voters "
                + state.membership().voters().stream().map(Member::host).toList()
                + " "
                + state.role().getClass().getSimpleName();
    }
}
