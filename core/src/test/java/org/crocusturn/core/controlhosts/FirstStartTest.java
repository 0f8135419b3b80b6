package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a host that votes with an empty log after it voted with an earlier disk, and
 * against hosts that wait indefinitely.
 */
class FirstStartTest {
    private static final String MEMBERS = "a b c";
    private static final int STEPS = 400;

    static Stream<Arguments> scripts() {
        return Stream.of(
                Arguments.of("all start", "start a b c, settle", "a=first b=first c=first"),
                Arguments.of("one host is missing", "start a b, settle", "a=none b=none c=none"),
                Arguments.of(
                        "the last host starts late",
                        "start a b, settle, start c, settle",
                        "a=first b=first c=first"),
                Arguments.of(
                        "the others have a log before the last host receives its answers",
                        "start a b c, deafen c, settle, log a b, heal c, settle",
                        "a=first b=first c=recover"),
                Arguments.of(
                        "a host crashes before the decision",
                        "start a b, settle, crash a, start a c, settle",
                        "a=first b=first c=first"),
                Arguments.of(
                        "a host crashes after the decision with an empty log",
                        "start a b c, settle, crash a, start a, settle",
                        "a=first b=first c=first"),
                Arguments.of(
                        "a disk is lost before the decision",
                        "start a b, settle, lose a, start a c, settle",
                        "a=recover b=first c=first"),
                Arguments.of(
                        "a disk is lost right after the decision",
                        "start a b c, settle, lose a, start a, settle",
                        "a=recover b=first c=first"),
                Arguments.of(
                        "two disks are lost right after the decision",
                        "start a b c, settle, lose a b, start a b, settle",
                        "a=recover b=recover c=first"),
                Arguments.of(
                        "two disks are lost and the intact host is down",
                        "start a b c, settle, lose a b, crash c, start a b, settle",
                        "a=none b=none c=none"),
                Arguments.of(
                        "a disk is lost after all hosts have a log",
                        "start a b c, settle, log a b c, lose b, start b, settle",
                        "a=first b=recover c=first"),
                Arguments.of(
                        "delayed answers to a host that lost its disk",
                        "start a b, keep, settle, lose a, start a c, replay, settle",
                        "a=recover b=first c=first"),
                Arguments.of(
                        "settings that name other members",
                        "start a b, differ c, start c, settle",
                        "a=none b=none c=none"),
                Arguments.of(
                        "a host that only answers",
                        "start a b, answer c, settle",
                        "a=first b=first c=none"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("scripts")
    void decides(String name, String script, String expected) {
        Simulation simulation = new Simulation(0);
        for (String step : script.split(", ")) {
            simulation.run(step);
        }
        assertEquals(expected, simulation.outcomes());
    }

    /** Guards against a single host that waits for answers although there are no other members. */
    @ParameterizedTest
    @ValueSource(longs = {1, -1})
    void startsSingleHostImmediately(long id) {
        HostId host = HostId.of("a");
        FirstStart alone = FirstStart.asking(host, members("a"), FirstStartIds.of(id));
        assertEquals(List.of(new FirstStartAction.Start(true)), alone.tick().actions());
        assertEquals(List.of(), alone.tick().state().tick().actions());
    }

    /**
     * Guards against a second first start after a lost disk, under reordered, lost and repeated
     * messages and crashes; {@code Simulation.checkDecision} checks the rule.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1_000, 2_000, 3_000})
    void neverStartsGroupAgainAfterDiskLoss(int firstSeed) {
        int firsts = 0;
        int recoveries = 0;
        for (int seed = firstSeed; seed < firstSeed + 1_000; seed++) {
            Simulation simulation = new Simulation(seed);
            for (int n = 0; n < STEPS; n++) {
                simulation.randomStep();
            }
            firsts += simulation.mFirsts;
            recoveries += simulation.mRecoveries;
        }
        assertTrue(firsts > 500 && recoveries > 500, firsts + " firsts, " + recoveries);
    }

    private static Membership members(String names) {
        return new Membership(
                Stream.of(names.split(" "))
                        .map(n -> new Member(HostId.of(n), "127.0.0.1:1", true))
                        .toList());
    }

    /** A host with its disk, which outlives the process. */
    private static final class Host {
        private FirstStartIds mIds = FirstStartIds.of(0);
        private FirstStart mRunning;
        private String mOutcome = "none";
        private String mSettings = MEMBERS;
        private boolean mHasLog;
        private boolean mDropsAnswers;
        private int mDiskNumber;
        private final Map<HostId, Integer> mAnswerDisks = new HashMap<>();
        private Map<HostId, Integer> mDisksAtFirstStart = Map.of();
        private int mFirstStartDisk = -1;
    }

    /** A message with the number of the disk that its sender had. */
    private record SentMessage(HostId from, HostId to, Object message, int diskNumber) {}

    /** Simulates the first starts of three hosts. */
    private static final class Simulation {
        private final Map<HostId, Host> mHosts = new HashMap<>();
        private final List<SentMessage> mInFlight = new ArrayList<>();
        private final List<SentMessage> mRecorded = new ArrayList<>();
        private final Random mRandom;
        private final long mSeed;
        private long mNextId = 1;
        private boolean mRecording;
        private int mFirsts;
        private int mRecoveries;

        private Simulation(long seed) {
            mSeed = seed;
            mRandom = new Random(seed);
            Stream.of(MEMBERS.split(" ")).forEach(n -> mHosts.put(HostId.of(n), newHost()));
        }

        private Host newHost() {
            Host host = new Host();
            host.mIds = FirstStartIds.of(mNextId++);
            return host;
        }

        private void run(String step) {
            String[] words = step.split(" ");
            if (words.length == 1) {
                runAll(words[0]);
            }
            for (int n = 1; n < words.length; n++) {
                runOne(words[0], HostId.of(words[n]));
            }
        }

        private void runAll(String verb) {
            if (verb.equals("settle")) {
                settle();
            } else if (verb.equals("keep")) {
                mRecording = true;
            } else {
                mInFlight.addAll(mRecorded);
            }
        }

        private void runOne(String verb, HostId id) {
            Host host = mHosts.get(id);
            switch (verb) {
                case "start", "answer" -> start(host, id, verb.equals("start"));
                case "crash" -> stop(host);
                case "lose" -> loseDisk(host);
                case "log" -> host.mHasLog = true;
                case "deafen" -> host.mDropsAnswers = true;
                case "heal" -> host.mDropsAnswers = false;
                case "differ" -> host.mSettings = "a b c d";
                default -> throw new IllegalArgumentException(verb);
            }
        }

        private void start(Host host, HostId id, boolean asks) {
            Membership settings = members(host.mSettings);
            host.mRunning =
                    asks && !host.mHasLog
                            ? FirstStart.asking(id, settings, host.mIds)
                            : FirstStart.answering(id, settings, host.mIds);
        }

        private static void stop(Host host) {
            host.mRunning = null;
            host.mOutcome = "none";
        }

        private void loseDisk(Host host) {
            stop(host);
            host.mIds = FirstStartIds.of(mNextId++);
            host.mHasLog = false;
            host.mDiskNumber++;
        }

        /** Delivers all messages in order and twice; five rounds are enough for all answers. */
        private void settle() {
            for (int round = 0; round < 5; round++) {
                mHosts.keySet().stream().sorted().forEach(this::tick);
                while (!mInFlight.isEmpty()) {
                    SentMessage sent = mInFlight.remove(0);
                    deliver(sent);
                    deliver(sent);
                }
            }
        }

        private void randomStep() {
            HostId id = HostId.of(List.of("a", "b", "c").get(mRandom.nextInt(3)));
            Host host = mHosts.get(id);
            int dice = mRandom.nextInt(100);
            if (dice < 60 && !mInFlight.isEmpty()) {
                int index = mRandom.nextInt(mInFlight.size());
                SentMessage sent = mInFlight.get(index);
                if (mRandom.nextInt(10) < 7) {
                    mInFlight.remove(index);
                }
                if (mRandom.nextInt(10) < 9) {
                    deliver(sent);
                }
            } else if (dice < 85 && host.mRunning != null) {
                tick(id);
            } else if (dice < 95 && host.mRunning == null) {
                start(host, id, true);
            } else if (dice < 97) {
                stop(host);
            } else if (dice < 98) {
                loseDisk(host);
            } else if (host.mOutcome.equals("first")) {
                host.mHasLog = true;
            }
        }

        private void tick(HostId id) {
            Host host = mHosts.get(id);
            if (host.mRunning != null) {
                execute(id, host, host.mRunning.tick());
            }
        }

        private void deliver(SentMessage sent) {
            Host host = mHosts.get(sent.to());
            if (host == null || host.mRunning == null) {
                return;
            }
            if (sent.message() instanceof FirstStartQuestion question) {
                execute(
                        sent.to(),
                        host,
                        host.mRunning.onQuestion(sent.from(), question, host.mHasLog));
            } else if (sent.message() instanceof FirstStartAnswer answer && !host.mDropsAnswers) {
                host.mAnswerDisks.put(sent.from(), sent.diskNumber());
                execute(sent.to(), host, host.mRunning.onAnswer(sent.from(), answer));
            }
        }

        private void execute(
                HostId id, Host host, Decision<FirstStart, FirstStartAction> decision) {
            host.mRunning = decision.state();
            for (FirstStartAction action : decision.actions()) {
                if (action instanceof FirstStartAction.Save save) {
                    host.mIds = save.ids();
                } else if (action instanceof FirstStartAction.Ask ask) {
                    send(new SentMessage(id, ask.to(), ask.question(), host.mDiskNumber));
                } else if (action instanceof FirstStartAction.Answer answer) {
                    send(new SentMessage(id, answer.to(), answer.answer(), host.mDiskNumber));
                } else if (action instanceof FirstStartAction.Start start) {
                    checkDecision(id, host, start.startsGroup());
                }
            }
        }

        private void send(SentMessage sent) {
            mInFlight.add(sent);
            if (mRecording) {
                mRecorded.add(sent);
            }
        }

        /**
         * Records a decision. A host may start a group again only if every other host has lost the
         * disk with which it allowed the earlier start.
         */
        private void checkDecision(HostId id, Host host, boolean first) {
            assertEquals("none", host.mOutcome, id + " decided twice, seed " + mSeed);
            host.mOutcome = first ? "first" : "recover";
            mFirsts += first ? 1 : 0;
            mRecoveries += first ? 0 : 1;
            if (!first) {
                return;
            }
            if (host.mFirstStartDisk >= 0 && host.mFirstStartDisk != host.mDiskNumber) {
                mHosts.forEach(
                        (other, state) ->
                                assertTrue(
                                        other.equals(id)
                                                || state.mDiskNumber
                                                        > host.mDisksAtFirstStart.get(other),
                                        id
                                                + " starts again although "
                                                + other
                                                + " kept its disk, seed "
                                                + mSeed));
            }
            host.mDisksAtFirstStart = Map.copyOf(host.mAnswerDisks);
            host.mFirstStartDisk = host.mDiskNumber;
        }

        private String outcomes() {
            return mHosts.keySet().stream()
                    .sorted()
                    .map(id -> id + "=" + mHosts.get(id).mOutcome)
                    .reduce((a, b) -> a + " " + b)
                    .orElseThrow();
        }
    }
}
