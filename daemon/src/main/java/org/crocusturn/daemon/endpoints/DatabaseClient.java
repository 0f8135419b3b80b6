package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.endpoints.DatabaseCommand;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.core.endpoints.RequestId;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/**
 * Client of one database session, which runs one command at a time.
 *
 * <p>Thread-safe; no method blocks. Futures complete on an I/O thread.
 */
public final class DatabaseClient implements AutoCloseable {
    private final long mConnectionId;
    private final HttpClientConnection mConnection;

    private final RequestIds mRequestIds = new RequestIds();
    private final AtomicBoolean mBusy = new AtomicBoolean();

    private DatabaseClient(long connectionId, HttpClientConnection connection) {
        mConnectionId = connectionId;
        mConnection = connection;
    }

    /**
     * Opens a session.
     *
     * @param threads I/O threads
     * @param connectionId id that the owner assigns to the connection
     * @param address IP address and port of the database protocol
     * @param database name of the database
     * @param epoch lease epoch; the database closes sessions of lower epochs
     * @param timeout timeout for connecting, and again for opening the session
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

    /** Returns the id that the owner assigned to the connection. */
    public long connectionId() {
        return mConnectionId;
    }

    /** Returns whether the connection is open. */
    public boolean isOpen() {
        return mConnection.isOpen();
    }

    /** Runs an action when the connection closes, or at once if it is closed already. */
    public void onClosed(Runnable action) {
        mConnection.onClosed(action);
    }

    /**
     * Runs a command.
     *
     * @param command the command; refused with verdict "not run" while another one runs
     * @param timeout timeout for the complete answer, after which the connection is closed
     * @return the result; the future never fails
     */
    public CompletableFuture<DatabaseResult> run(DatabaseCommand command, Duration timeout) {
        Objects.requireNonNull(command, "command");
        RequestId request = mRequestIds.next();
        return exchange(request, DatabaseCodec.command(request, command), timeout);
    }

    @Override
    public void close() {
        mConnection.close();
    }

    private CompletableFuture<DatabaseClient> openSession(
            String database, long epoch, Duration timeout) {
        RequestId request = mRequestIds.next();
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
        // No statement runs without a session, even if the outcome of opening it is unknown.
        throw CrocusturnException.notRun(
                failure.verdict() == Verdict.NOT_RUN ? failure.code() : ErrorCode.UNAVAILABLE,
                "could not open a session: " + failure.message());
    }

    private CompletableFuture<DatabaseResult> exchange(
            RequestId request, HttpRequest encoded, Duration timeout) {
        if (!mBusy.compareAndSet(false, true)) {
            return CompletableFuture.completedFuture(
                    new DatabaseResult.Refused(
                            Failure.notRun(
                                    ErrorCode.OVERLOADED, "the connection runs another command")));
        }
        return mConnection
                .send(encoded, timeout)
                .handle(
                        (response, error) -> {
                            DatabaseResult result =
                                    error == null
                                            ? read(request, response)
                                            : closeAfterFailure(error);
                            mBusy.set(false);
                            return result;
                        });
    }

    private DatabaseResult read(RequestId request, HttpResponse response) {
        try {
            return DatabaseCodec.result(request, response.status(), Json.read(response.body()));
        } catch (RuntimeException | StackOverflowError e) {
            return closeAfterFailure(Failure.mayHaveRun(String.valueOf(e.getMessage())));
        }
    }

    private DatabaseResult closeAfterFailure(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return closeAfterFailure(
                cause instanceof CrocusturnException known
                        ? known.failure()
                        : Failure.mayHaveRun("the connection failed: " + cause));
    }

    private DatabaseResult closeAfterFailure(Failure failure) {
        mConnection.close();
        return new DatabaseResult.Lost(failure);
    }

    @Override
    public String toString() {
        return "DatabaseClient[" + mConnectionId + "]";
    }
}
