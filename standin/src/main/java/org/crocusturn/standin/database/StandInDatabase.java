package org.crocusturn.standin.database;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpLimits;
import org.crocusturn.daemon.net.HttpServer;
import org.crocusturn.daemon.net.NetThreads;

/**
 * Is one endpoint that serves several databases with the protocol of docs/database-protocol.md.
 *
 * <p>The data is in memory and ends with {@link #close}. Safe for any thread.
 */
public final class StandInDatabase implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(StandInDatabase.class);

    private static final int RING_CAPACITY = 4_096;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);
    private static final HttpLimits LIMITS =
            new HttpLimits(16 << 20, 64, Duration.ofSeconds(30), Duration.ofHours(1), 10_000);

    private final StandInSettings mSettings;
    private final NetThreads mThreads;
    private final BehaviourSwitch mBehaviour;
    private final Freeze mFreeze = new Freeze();
    private final Counters mCounters = new Counters();
    private final Map<String, ServedDatabase> mDatabases = new LinkedHashMap<>();
    private final Duty<StatusDutyEvent> mStatusDuty;
    private final HttpServer mStatusServer;
    private final HttpServer mDatabaseServer;
    private final Duty<AnnouncementDuty.Leave> mAnnouncementDuty;

    private StandInDatabase(StandInSettings settings, NetThreads threads) {
        mSettings = settings;
        mThreads = threads;
        mBehaviour = new BehaviourSwitch(settings.behaviour());
        ChangeSignal signal = new ChangeSignal();
        settings.databases().forEach(d -> mDatabases.put(d.name(), serve(d, signal)));
        StatusDuty status = new StatusDuty(mDatabases, mBehaviour, mCounters);
        mStatusDuty = start("standin-status", status);
        signal.connect(status, mStatusDuty);
        mStatusServer =
                HttpServer.start(
                        threads,
                        Addresses.parse(settings.statusAddress()),
                        LIMITS,
                        mFreeze.holding(this::ask));
        mDatabaseServer =
                HttpServer.start(
                        threads,
                        Addresses.parse(settings.address()),
                        LIMITS,
                        mFreeze.holding(
                                new DatabaseRoutes(threads, mDatabases, mBehaviour, mCounters)),
                        SplitWriter::addTo);
        mAnnouncementDuty =
                start(
                        "standin-announcements",
                        new AnnouncementDuty(
                                threads,
                                record(),
                                settings.controlAddresses(),
                                settings.announcementSecret(),
                                this::unused));
    }

    /** Starts an endpoint; its databases are replicas of term 0 until they get commands. */
    public static StandInDatabase start(StandInSettings settings, NetThreads threads) {
        return new StandInDatabase(settings, threads);
    }

    /** Returns the endpoint as it announces itself, with the ports that are bound. */
    public EndpointRecord record() {
        return new EndpointRecord(
                mSettings.endpoint(),
                mSettings.service(),
                mSettings.dataCentre(),
                Addresses.format(mDatabaseServer.address()),
                Addresses.format(mStatusServer.address()),
                mSettings.databases(),
                false);
    }

    /** Returns the counters. */
    public Counters counters() {
        return mCounters;
    }

    /** Returns the status of a database. */
    public CopyStatus status(String database) {
        return served(database).copy().status(System.nanoTime());
    }

    /** Returns the number of open sessions of a database. */
    public int sessions(String database) {
        return served(database).copy().sessions();
    }

    /** Changes the behaviour. */
    public void change(UnaryOperator<Behaviour> change) {
        mBehaviour.change(change);
        mDatabases.values().forEach(d -> d.replication().offer(new ReplicationEvent.Changed()));
    }

    /** Makes the next requests meet faults. */
    public void fail(Fault... faults) {
        change(b -> b.withFaults(List.of(faults)));
    }

    /**
     * Leaves all requests unanswered and stops replication, as a process that is stopped or cut
     * off. Announcements go on, so that only the missing answers can reveal it.
     */
    public void freeze() {
        mFreeze.freeze();
        change(b -> b.withReplicationPaused(true));
    }

    /** Goes on with the requests that arrived meanwhile, as a process that is resumed. */
    public void thaw() {
        change(b -> b.withReplicationPaused(false));
        mFreeze.thaw();
    }

    /**
     * Announces that the endpoint leaves.
     *
     * @param limit longest time to wait
     * @return completed when the endpoint has no primary and no session, or the limit has passed
     */
    public CompletableFuture<Void> leave(Duration limit) {
        CompletableFuture<Void> left = new CompletableFuture<>();
        if (!mAnnouncementDuty.offer(new AnnouncementDuty.Leave(limit, left))) {
            left.complete(null);
        }
        return left;
    }

    @Override
    public void close() {
        mAnnouncementDuty.stop(STOP_TIMEOUT);
        mDatabaseServer.close();
        mStatusServer.close();
        mStatusDuty.stop(STOP_TIMEOUT);
        mDatabases
                .values()
                .forEach(
                        d -> {
                            d.replication().stop(STOP_TIMEOUT);
                            d.sessionDuty().stop(STOP_TIMEOUT);
                            d.slots().stop();
                            d.copy().close();
                        });
    }

    private ServedDatabase serve(DatabaseRecord record, Runnable onChange) {
        DatabaseCopy copy = DatabaseCopy.create(record, mCounters, onChange);
        ReplicationDuty replication = new ReplicationDuty(mThreads, copy, mBehaviour);
        Duty<ReplicationEvent> duty = start(record.name() + "-replication", replication);
        replication.setEvents(duty::offer);
        return new ServedDatabase(
                copy,
                StatementSlots.start(record.name(), record.slots()),
                StatementSlots.start(record.name() + "-sessions"),
                duty);
    }

    private void ask(HttpExchange exchange) {
        if (!mStatusDuty.offer(new StatusDutyEvent.Asked(exchange))) {
            exchange.respond(
                    Answers.of(
                                    "",
                                    org.crocusturn.core.LogPosition.ZERO,
                                    RefusedException.tooMany("busy", "too many requests wait"))
                            .encode());
        }
    }

    private boolean unused() {
        return mDatabases.values().stream()
                .map(ServedDatabase::copy)
                .allMatch(c -> c.state().role() != Role.PRIMARY && c.sessions() == 0);
    }

    private ServedDatabase served(String database) {
        ServedDatabase served = mDatabases.get(database);
        if (served == null) {
            throw CrocusturnException.notRun(
                    ErrorCode.NOT_FOUND, "database \"" + database + "\" does not exist");
        }
        return served;
    }

    private static <E> Duty<E> start(String name, org.crocusturn.core.ring.DutyHandler<E> handler) {
        return Duty.start(
                name, RING_CAPACITY, handler, e -> LOG.error("standin: {} failed", name, e));
    }
}
