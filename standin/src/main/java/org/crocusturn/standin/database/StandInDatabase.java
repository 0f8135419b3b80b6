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
 * An endpoint that serves several databases with the protocol of docs/database-protocol.md.
 *
 * <p>The data is kept in memory and discarded by {@link #close}. This class is thread-safe.
 */
public final class StandInDatabase implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(StandInDatabase.class);

    private static final int RING_CAPACITY = 4_096;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);
    private static final HttpLimits HTTP_LIMITS =
            new HttpLimits(16 << 20, 64, Duration.ofSeconds(30), Duration.ofHours(1), 10_000);

    private final StandInSettings mSettings;
    private final NetThreads mThreads;
    private final CurrentBehaviour mBehaviour;
    private final RequestGate mRequestGate = new RequestGate();
    private final Counters mCounters = new Counters();
    private final Map<String, ServedDatabase> mDatabases = new LinkedHashMap<>();
    private final Duty<StatusEvent> mStatusDuty;
    private final HttpServer mStatusServer;
    private final HttpServer mDatabaseServer;
    private final Duty<AnnouncementDuty.Leave> mAnnouncementDuty;

    private StandInDatabase(StandInSettings settings, NetThreads threads) {
        mSettings = settings;
        mThreads = threads;
        mBehaviour = new CurrentBehaviour(settings.behaviour());
        ChangeNotifier notifier = new ChangeNotifier();
        settings.databases().forEach(d -> mDatabases.put(d.name(), createDatabase(d, notifier)));
        StatusDuty status = new StatusDuty(threads, mDatabases, mBehaviour, mCounters);
        mStatusDuty = startDuty("standin-status", status);
        notifier.connect(status, mStatusDuty);
        mStatusServer =
                HttpServer.start(
                        threads,
                        Addresses.parse(settings.statusAddress()),
                        HTTP_LIMITS,
                        mRequestGate.wrap(this::handleStatusRequest),
                        FaultyWriter::addTo);
        mDatabaseServer =
                HttpServer.start(
                        threads,
                        Addresses.parse(settings.address()),
                        HTTP_LIMITS,
                        mRequestGate.wrap(
                                new DatabaseRequestHandler(
                                        threads, mDatabases, mBehaviour, mCounters)),
                        FaultyWriter::addTo);
        mAnnouncementDuty =
                startDuty(
                        "standin-announcements",
                        new AnnouncementDuty(
                                threads,
                                record(),
                                settings.controlAddresses(),
                                settings.announcementSecret(),
                                this::isUnused));
    }

    /** Starts an endpoint whose databases are replicas of term 0 until they receive a command. */
    public static StandInDatabase start(StandInSettings settings, NetThreads threads) {
        return new StandInDatabase(settings, threads);
    }

    /** Returns the record that the endpoint announces, with the bound ports. */
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
        return requireDatabase(database).copy().status(System.nanoTime());
    }

    /** Returns the number of open sessions of a database. */
    public int sessionCount(String database) {
        return requireDatabase(database).copy().sessionCount();
    }

    /** Applies a change to the current behaviour. */
    public void changeBehaviour(UnaryOperator<Behaviour> change) {
        mBehaviour.update(change);
        mDatabases
                .values()
                .forEach(d -> d.replication().offer(new ReplicationEvent.StateChanged()));
    }

    /** Injects faults into the next requests; replaces the remaining ones. */
    public void injectFaults(Fault... faults) {
        changeBehaviour(b -> b.withFaults(List.of(faults)));
    }

    /**
     * Stops answering requests and pauses replication, like a process that is suspended or
     * partitioned from the network. Announcements continue, so that the failure can be detected
     * only by the missing answers.
     */
    public void freeze() {
        mRequestGate.freeze();
        changeBehaviour(b -> b.withReplicationPaused(true));
    }

    /** Handles the requests that arrived while frozen and resumes normal operation. */
    public void unfreeze() {
        changeBehaviour(b -> b.withReplicationPaused(false));
        mRequestGate.unfreeze();
    }

    /**
     * Announces that the endpoint is leaving.
     *
     * @param limit maximum time to wait
     * @return future that completes when the endpoint has no primary and no session, or when the
     *     limit has elapsed
     */
    public CompletableFuture<Void> leave(Duration limit) {
        CompletableFuture<Void> completion = new CompletableFuture<>();
        if (!mAnnouncementDuty.offer(new AnnouncementDuty.Leave(limit, completion))) {
            completion.complete(null);
        }
        return completion;
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

    private ServedDatabase createDatabase(DatabaseRecord record, Runnable onChange) {
        DatabaseCopy copy = DatabaseCopy.create(record, mCounters, onChange);
        ReplicationDuty replication = new ReplicationDuty(mThreads, copy, mBehaviour);
        Duty<ReplicationEvent> duty = startDuty(record.name() + "-replication", replication);
        replication.setEventSink(duty::offer);
        return new ServedDatabase(
                copy,
                StatementSlots.start(record.name(), record.slots()),
                StatementSlots.startThread(record.name() + "-sessions"),
                duty);
    }

    private void handleStatusRequest(HttpExchange exchange) {
        if (!mStatusDuty.offer(new StatusEvent.RequestReceived(exchange))) {
            exchange.respond(
                    JsonResponse.of(
                                    "",
                                    org.crocusturn.core.LogPosition.ZERO,
                                    RefusedException.tooManyRequests(
                                            "busy", "the queue of status requests is full"))
                            .toHttpResponse());
        }
    }

    private boolean isUnused() {
        return mDatabases.values().stream()
                .map(ServedDatabase::copy)
                .allMatch(c -> c.state().role() != Role.PRIMARY && c.sessionCount() == 0);
    }

    private ServedDatabase requireDatabase(String database) {
        ServedDatabase served = mDatabases.get(database);
        if (served == null) {
            throw CrocusturnException.notRun(
                    ErrorCode.NOT_FOUND, "database \"" + database + "\" does not exist");
        }
        return served;
    }

    private static <E> Duty<E> startDuty(
            String name, org.crocusturn.core.ring.DutyHandler<E> handler) {
        return Duty.start(
                name,
                RING_CAPACITY,
                handler,
                e -> LOG.error("standin: uncaught exception in duty {}", name, e));
    }
}
