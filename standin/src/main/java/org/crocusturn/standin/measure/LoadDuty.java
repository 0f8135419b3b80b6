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

/** Sends each arrival when it is due, whatever became of the ones before. */
final class LoadDuty implements org.crocusturn.core.ring.DutyHandler<LoadEvent> {
    private static final long IDLE_NANOS = 1_000_000_000;

    private final Callers mCallers;
    private final List<Arrival> mArrivals;
    private final boolean mRequestIds;
    private final long mStartNanos;
    private final CompletableFuture<List<Sample>> mDone;
    private final List<Sample> mSamples = new ArrayList<>();
    private final Map<String, Deque<CallerSession>> mIdle = new HashMap<>();
    private volatile Predicate<LoadEvent> mEvents = e -> false;
    private int mNext;

    LoadDuty(
            Callers callers,
            List<Arrival> arrivals,
            boolean requestIds,
            long startNanos,
            CompletableFuture<List<Sample>> done) {
        mCallers = callers;
        mArrivals = List.copyOf(arrivals);
        mRequestIds = requestIds;
        mStartNanos = startNanos;
        mDone = done;
    }

    void setEvents(Predicate<LoadEvent> events) {
        mEvents = events;
    }

    @Override
    public void onEvent(LoadEvent event) {
        LoadEvent.Ended ended = (LoadEvent.Ended) event;
        CallerSession session = ended.call().session();
        Sample sample = sample(ended);
        mSamples.add(sample);
        CallerSession after =
                session.withToken(ended.answer().flatMap(a -> a.header("crocusturn-session")));
        if (sample.arrival().kind() == Kind.WRITE) {
            after = after.withWritten(sample.done(), sample.doneNanos());
        }
        idle(sample.arrival().workspace()).addLast(after);
    }

    @Override
    public long onTimer(long nowNanos) {
        long elapsed = nowNanos - mStartNanos;
        while (mNext < mArrivals.size() && mArrivals.get(mNext).atNanos() <= elapsed) {
            send(mArrivals.get(mNext++), elapsed);
        }
        if (mNext < mArrivals.size()) {
            return mStartNanos + mArrivals.get(mNext).atNanos();
        }
        if (mSamples.size() == mArrivals.size()) {
            mDone.complete(List.copyOf(mSamples));
        }
        return nowNanos + IDLE_NANOS;
    }

    private void send(Arrival arrival, long elapsed) {
        Deque<CallerSession> idle = idle(arrival.workspace());
        CallerSession session =
                Optional.ofNullable(idle.pollFirst()).orElseGet(mCallers::newSession);
        CallerSession sending = arrival.kind() == Kind.WRITE ? session.withSent() : session;
        LoadEvent.Call call = new LoadEvent.Call(arrival, sending, elapsed);
        mCallers.send(
                arrival,
                sending,
                mRequestIds,
                answer -> mEvents.test(new LoadEvent.Ended(call, answer, System.nanoTime())));
    }

    private Deque<CallerSession> idle(String workspace) {
        return mIdle.computeIfAbsent(workspace, w -> new ArrayDeque<>(mCallers.newSessions()));
    }

    private Sample sample(LoadEvent.Ended ended) {
        LoadEvent.Call call = ended.call();
        CallerSession session = call.session();
        JsonNode body = ended.answer().map(LoadDuty::body).orElseGet(Json::object);
        int status = ended.answer().map(HttpResponse::status).orElse(0);
        JsonNode served = body.path("servedBy");
        boolean plainRead = call.arrival().kind() == Kind.READ && status == Callers.OK;
        return new Sample(
                call.arrival(),
                ended.nanos() - mStartNanos,
                status,
                body.path("code").asText(""),
                body.path("verdict").asText(""),
                served.path("endpoint").asText(""),
                served.path("role").asText("").equals("replica"),
                new Row(session.id(), session.sent()),
                session.token().isPresent(),
                session.writtenNanos() == Long.MIN_VALUE
                        ? Long.MAX_VALUE
                        : call.sentNanos() - session.writtenNanos(),
                plainRead && body.path("rows").path(0).path(0).asLong(0) < session.acknowledged());
    }

    private static JsonNode body(HttpResponse answer) {
        try {
            return Json.read(answer.body());
        } catch (CrocusturnException e) {
            return Json.object();
        }
    }
}
