package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.endpoints.DatabaseCommand;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpAnswer;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/**
 * Is one open session of one database; it runs one command at a time.
 *
 * <p>Safe for any thread; no method blocks. Futures complete on an I/O thread.
 */
public final class DatabaseClient implements AutoCloseable {
    private final long mConnectionId;
    private final HttpClientConnection mConnection;

    /** Distinguishes requests of this connection from those of all others, in any process. */
    private final String mPrefix = UUID.randomUUID() + "-";

    private final AtomicLong mRequests = new AtomicLong();
    private final AtomicBoolean mBusy = new AtomicBoolean();

    private DatabaseClient(long connectionId, HttpClientConnection connection) {
        mConnectionId = connectionId;
        mConnection = connection;
    }

    /**
     * Opens a session.
     *
     * @param threads I/O threads
     * @param connectionId number that the owner gives to the connection
     * @param address IP address and port of the database protocol
     * @param database name of the database
     * @param epoch lease epoch; the database closes sessions of lower ones
     * @param timeout time for the connection and then for the session
     * @return the session; the future fails with a {@link CrocusturnException} of verdict "not run"
     */
    public static CompletableFuture<DatabaseClient> open(
            NetThreads threads,
            long connectionId,
            String address,
            String database,
            long epoch,
            Duration timeout) {
        Objects.requireNonNull(database, "database");
        return CompletableFuture.completedFuture(address)
                .thenApply(Addresses::parse)
                .thenCompose(a -> HttpClientConnection.connect(threads, a, timeout))
                .thenCompose(
                        connection ->
                                new DatabaseClient(connectionId, connection)
                                        .openSession(database, epoch, timeout));
    }

    /** Returns the number that the owner gave to the connection. */
    public long connectionId() {
        return mConnectionId;
    }

    /** Returns whether the connection is open. */
    public boolean isOpen() {
        return mConnection.isOpen();
    }

    /** Calls an action when the connection is closed, or at once if it is. */
    public void onClosed(Runnable action) {
        mConnection.onClosed(action);
    }

    /**
     * Runs a command.
     *
     * @param command the command; refused as not run while another one runs
     * @param timeout time for the whole answer; afterwards the connection is closed
     * @return the result; the future never fails
     */
    public CompletableFuture<DatabaseResult> run(DatabaseCommand command, Duration timeout) {
        Objects.requireNonNull(command, "command");
        String request = mPrefix + mRequests.incrementAndGet();
        return exchange(request, DatabaseCodec.command(request, command), timeout);
    }

    @Override
    public void close() {
        mConnection.close();
    }

    private CompletableFuture<DatabaseClient> openSession(
            String database, long epoch, Duration timeout) {
        String request = mPrefix + mRequests.incrementAndGet();
        return exchange(request, DatabaseCodec.session(request, database, epoch), timeout)
                .thenApply(this::opened);
    }

    private DatabaseClient opened(DatabaseResult result) {
        if (result instanceof DatabaseResult.Done) {
            return this;
        }
        close();
        Failure failure =
                result instanceof DatabaseResult.Refused refused
                        ? refused.failure()
                        : ((DatabaseResult.Lost) result).failure();
        // A session that did not open ran no statement, whatever became of its request.
        throw CrocusturnException.notRun(
                failure.verdict() == Verdict.NOT_RUN ? failure.code() : ErrorCode.UNAVAILABLE,
                "no session: " + failure.message());
    }

    private CompletableFuture<DatabaseResult> exchange(
            String request, HttpRequest encoded, Duration timeout) {
        if (!mBusy.compareAndSet(false, true)) {
            return CompletableFuture.completedFuture(
                    new DatabaseResult.Refused(
                            Failure.notRun(
                                    ErrorCode.OVERLOADED, "the connection runs another command")));
        }
        return mConnection
                .send(encoded, timeout)
                .handle(
                        (answer, error) -> {
                            DatabaseResult result =
                                    error == null ? read(request, answer) : lost(error);
                            mBusy.set(false);
                            return result;
                        });
    }

    private DatabaseResult read(String request, HttpAnswer answer) {
        try {
            return DatabaseCodec.result(request, answer.status(), Json.read(answer.body()));
        } catch (CrocusturnException e) {
            return lost(Failure.mayHaveRun(e.getMessage()));
        }
    }

    private DatabaseResult lost(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return lost(
                cause instanceof CrocusturnException known
                        ? known.failure()
                        : Failure.mayHaveRun("the connection failed: " + cause));
    }

    private DatabaseResult lost(Failure failure) {
        mConnection.close();
        return new DatabaseResult.Lost(failure);
    }

    @Override
    public String toString() {
        return "DatabaseClient[" + mConnectionId + "]";
    }
}
