package org.crocusturn.standin.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;

/** Sends each arrival when it is due, whether or not earlier requests have completed. */
final class LoadDuty implements org.crocusturn.core.ring.DutyHandler<LoadEvent> {
    private static final long IDLE_TIMER_NANOS = 1_000_000_000;

    private final StatementClient mClient;
    private final List<Arrival> mArrivals;
    private final boolean mRequestIds;
    private final long mStartNanos;
    private final CompletableFuture<List<Sample>> mDone;
    private final List<Sample> mSamples = new ArrayList<>();
    private final Map<String, Deque<CallerSession>> mIdleSessions = new HashMap<>();
    private volatile Predicate<LoadEvent> mEventSink = e -> false;
    private int mNextArrival;

    LoadDuty(
            StatementClient client,
            List<Arrival> arrivals,
            boolean requestIds,
            long startNanos,
            CompletableFuture<List<Sample>> done) {
        mClient = client;
        mArrivals = List.copyOf(arrivals);
        mRequestIds = requestIds;
        mStartNanos = startNanos;
        mDone = done;
    }

    void setEventSink(Predicate<LoadEvent> eventSink) {
        mEventSink = eventSink;
    }

    @Override
    public void onEvent(LoadEvent event) {
        LoadEvent.Completed completed = (LoadEvent.Completed) event;
        CallerSession session = completed.request().session();
        Sample sample = toSample(completed);
        mSamples.add(sample);
        CallerSession updated =
                session.withToken(completed.answer().flatMap(a -> a.header("crocusturn-session")));
        if (sample.arrival().kind() == RequestKind.WRITE) {
            updated = updated.withWriteCompleted(sample.succeeded(), sample.completedNanos());
        }
        idleSessions(sample.arrival().workspace()).addLast(updated);
    }

    @Override
    public long onTimer(long nowNanos) {
        long elapsedNanos = nowNanos - mStartNanos;
        while (mNextArrival < mArrivals.size()
                && mArrivals.get(mNextArrival).dueNanos() <= elapsedNanos) {
            send(mArrivals.get(mNextArrival++), elapsedNanos);
        }
        if (mNextArrival < mArrivals.size()) {
            return mStartNanos + mArrivals.get(mNextArrival).dueNanos();
        }
        if (mSamples.size() == mArrivals.size()) {
            mDone.complete(List.copyOf(mSamples));
        }
        return nowNanos + IDLE_TIMER_NANOS;
    }

    private void send(Arrival arrival, long elapsedNanos) {
        Deque<CallerSession> idle = idleSessions(arrival.workspace());
        CallerSession session =
                Optional.ofNullable(idle.pollFirst()).orElseGet(mClient::newSession);
        CallerSession sending =
                arrival.kind() == RequestKind.WRITE ? session.withWriteSent() : session;
        LoadEvent.SentRequest request = new LoadEvent.SentRequest(arrival, sending, elapsedNanos);
        mClient.send(
                arrival,
                sending,
                mRequestIds,
                answer ->
                        mEventSink.test(
                                new LoadEvent.Completed(request, answer, System.nanoTime())));
    }

    private Deque<CallerSession> idleSessions(String workspace) {
        return mIdleSessions.computeIfAbsent(
                workspace, key -> new ArrayDeque<>(mClient.newSessions()));
    }

    private Sample toSample(LoadEvent.Completed completed) {
        LoadEvent.SentRequest request = completed.request();
        CallerSession session = request.session();
        JsonNode body = completed.answer().map(LoadDuty::readBody).orElseGet(Json::object);
        int status = completed.answer().map(HttpResponse::status).orElse(0);
        JsonNode servedBy = body.path("servedBy");
        boolean plainRead =
                request.arrival().kind() == RequestKind.READ && status == StatementClient.OK;
        return new Sample(
                request.arrival(),
                completed.completedNanos() - mStartNanos,
                status,
                body.path("code").asText(""),
                body.path("verdict").asText(""),
                servedBy.path("endpoint").asText(""),
                servedBy.path("role").asText("").equals("replica"),
                new RowId(session.id(), session.lastSentWrite()),
                session.token().isPresent(),
                session.lastWriteNanos() == Long.MIN_VALUE
                        ? Long.MAX_VALUE
                        : request.sentNanos() - session.lastWriteNanos(),
                plainRead
                        && body.path("rows").path(0).path(0).asLong(0)
                                < session.lastAcknowledgedWrite());
    }

    private static JsonNode readBody(HttpResponse answer) {
        try {
            return Json.read(answer.body());
        } catch (CrocusturnException e) {
            return Json.object();
        }
    }
}
