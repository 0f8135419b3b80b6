package org.crocusturn.standin.database;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.daemon.endpoints.AnnouncementHandler;
import org.crocusturn.daemon.endpoints.EndpointJson;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/**
 * Announces an endpoint to the control hosts every second, and completes a request to leave once
 * the endpoint is unused.
 */
final class AnnouncementDuty implements DutyHandler<AnnouncementDuty.Leave> {
    /**
     * A request to leave.
     *
     * @param limit maximum time to wait until the endpoint is unused
     * @param completion completed when the endpoint is unused or the limit has elapsed
     */
    record Leave(Duration limit, CompletableFuture<Void> completion) {}

    private static final Logger LOG = LogManager.getLogger(AnnouncementDuty.class);

    private static final int OK = 200;
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Interval between two checks of whether a leaving endpoint is still in use. */
    private static final long LEAVE_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    private final NetThreads mThreads;
    private final List<String> mControlAddresses;
    private final Map<String, String> mHeaders;
    private final BooleanSupplier mIsUnused;
    private EndpointRecord mRecord;
    private long mNextAnnouncementNanos = System.nanoTime();
    private Optional<Leave> mLeave = Optional.empty();
    private long mLeaveDeadlineNanos;
    private CompletableFuture<Void> mLastAnnouncement = CompletableFuture.completedFuture(null);

    AnnouncementDuty(
            NetThreads threads,
            EndpointRecord record,
            List<String> controlAddresses,
            String secret,
            BooleanSupplier isUnused) {
        mThreads = threads;
        mRecord = record;
        mControlAddresses = List.copyOf(controlAddresses);
        mHeaders = Map.of("authorization", "Bearer " + secret, "content-type", "application/json");
        mIsUnused = isUnused;
    }

    @Override
    public void onEvent(Leave event) {
        mRecord = mRecord.withLeaving(true);
        mLeave = Optional.of(event);
        mLeaveDeadlineNanos = System.nanoTime() + event.limit().toNanos();
        announce();
    }

    @Override
    public long onTimer(long nowNanos) {
        if (nowNanos - mNextAnnouncementNanos >= 0) {
            mNextAnnouncementNanos = nowNanos + INTERVAL_NANOS;
            announce();
        }
        if (mLeave.isEmpty()) {
            return mNextAnnouncementNanos;
        }
        boolean limitReached = nowNanos - mLeaveDeadlineNanos >= 0;
        if (limitReached || mLastAnnouncement.isDone() && mIsUnused.getAsBoolean()) {
            mLeave.get().completion().complete(null);
            mLeave = Optional.empty();
            return mNextAnnouncementNanos;
        }
        return Math.min(mNextAnnouncementNanos, nowNanos + LEAVE_CHECK_INTERVAL_NANOS);
    }

    private void announce() {
        HttpRequest request =
                new HttpRequest(
                        "POST",
                        AnnouncementHandler.ROUTE,
                        mHeaders,
                        Json.write(EndpointJson.announcement(mRecord)));
        mLastAnnouncement =
                CompletableFuture.allOf(
                        mControlAddresses.stream()
                                .map(address -> announce(address, request))
                                .toArray(CompletableFuture<?>[]::new));
    }

    private CompletableFuture<Void> announce(String address, HttpRequest request) {
        return HttpClientConnection.connect(mThreads, Addresses.parse(address), REQUEST_TIMEOUT)
                .thenCompose(
                        connection ->
                                connection
                                        .send(request, REQUEST_TIMEOUT)
                                        .whenComplete((response, error) -> connection.close()))
                .handle(
                        (response, error) -> {
                            logFailure(address, response, error);
                            return null;
                        });
    }

    private static void logFailure(String address, HttpResponse response, Throwable error) {
        if (error != null) {
            LOG.debug("standin: announcement to {} failed: {}", address, error.toString());
        } else if (response.status() != OK) {
            LOG.warn(
                    "standin: {} rejected the announcement with status {}",
                    address,
                    response.status());
        }
    }
}
