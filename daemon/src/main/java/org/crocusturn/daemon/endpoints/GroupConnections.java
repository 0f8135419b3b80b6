package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.core.endpoints.GroupAction;
import org.crocusturn.core.ring.ThreadFailures;
import org.crocusturn.daemon.net.NetThreads;

/** Database connections of {@link GroupsDuty}; used only by its thread. */
final class GroupConnections {
    private static final Logger LOG = LogManager.getLogger(GroupConnections.class);
    private static final Duration OPEN_TIMEOUT = Duration.ofSeconds(2);

    private final NetThreads mThreads;
    private final Predicate<GroupsEvent> mRing;
    private final Map<Key, Optional<DatabaseClient>> mClients = new HashMap<>();

    private GroupConnections(NetThreads threads, Predicate<GroupsEvent> ring) {
        mThreads = threads;
        mRing = ring;
    }

    /** Identifies a connection of this process. */
    private record Key(GroupId group, long connection) {}

    static GroupConnections create(NetThreads threads, Predicate<GroupsEvent> ring) {
        return new GroupConnections(threads, ring);
    }

    void open(GroupId group, GroupAction.OpenConnection open, Optional<String> address) {
        long connection = open.connection();
        mClients.put(new Key(group, connection), Optional.empty());
        if (address.isEmpty()) {
            offer(new GroupsEvent.ConnectionFailed(group, connection));
            return;
        }
        DatabaseClient.open(
                        mThreads,
                        connection,
                        address.get(),
                        open.database(),
                        open.epoch(),
                        OPEN_TIMEOUT)
                .whenComplete(
                        ThreadFailures.guardCompletion(
                                (client, error) -> opened(group, connection, client, error)));
    }

    private void opened(GroupId group, long connection, DatabaseClient client, Throwable error) {
        if (error != null) {
            offer(new GroupsEvent.ConnectionFailed(group, connection));
            return;
        }
        offer(new GroupsEvent.ConnectionOpened(group, connection, client));
        client.onClosed(() -> offer(new GroupsEvent.ConnectionFailed(group, connection)));
    }

    /** Registers an opened connection; closes it and returns false if it is no longer needed. */
    boolean opened(GroupsEvent.ConnectionOpened event) {
        Key key = new Key(event.group(), event.connection());
        if (!mClients.containsKey(key)) {
            event.client().close();
            return false;
        }
        mClients.put(key, Optional.of(event.client()));
        return true;
    }

    void close(GroupId group, long connection) {
        Optional<DatabaseClient> client = mClients.remove(new Key(group, connection));
        if (client != null) {
            client.ifPresent(DatabaseClient::close);
        }
    }

    void forget(GroupId group, long connection) {
        mClients.remove(new Key(group, connection));
    }

    void send(GroupId group, GroupAction.SendCommand send) {
        Optional<DatabaseClient> client = mClients.get(new Key(group, send.connection()));
        if (client == null || client.isEmpty()) {
            finish(
                    group,
                    send,
                    new DatabaseResult.Lost(
                            Failure.notRun(ErrorCode.UNAVAILABLE, "the connection is closed")));
            return;
        }
        client.get()
                .run(send.payload(), Duration.ofMillis(send.timeoutMillis()))
                .whenComplete(
                        ThreadFailures.guardCompletion(
                                (result, error) ->
                                        finish(
                                                group,
                                                send,
                                                error == null
                                                        ? result
                                                        : new DatabaseResult.Lost(
                                                                failure(error)))));
    }

    private void finish(GroupId group, GroupAction.SendCommand send, DatabaseResult result) {
        Objects.requireNonNull(result, "result");
        offer(new GroupsEvent.CommandCompleted(group, send.connection(), send.command(), result));
    }

    /** The ring has capacity for all of these events, so a full ring indicates a defect. */
    private void offer(GroupsEvent event) {
        if (!mRing.test(event)) {
            LOG.error("endpoints: the ring of the groups duty is full, an event was dropped");
        }
    }

    private static Failure failure(Throwable error) {
        Throwable cause = error.getCause() == null ? error : error.getCause();
        if (error instanceof CrocusturnException known) {
            return known.failure();
        }
        return cause instanceof CrocusturnException known
                ? known.failure()
                : Failure.mayHaveRun("the connection failed: " + cause.getMessage());
    }
}
