package org.crocusturn.daemon.platform;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Map;
import org.crocusturn.core.endpoints.OpeningReason;
import org.crocusturn.core.platform.UsageMetric;
import org.crocusturn.daemon.net.HttpResponse;

/**
 * Metrics of one process. No label contains a key.
 *
 * <p>Thread-safe.
 */
public final class Metrics {
    private static final int OK = 200;

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRequests =
            Counter.builder()
                    .withoutExemplars()
                    .name("crocusturn_requests")
                    .help("Requests by workspace, verdict, and role or consistency")
                    .labelNames("workspace", "verdict", "route")
                    .register(mRegistry);
    private final Counter mRefusals =
            Counter.builder()
                    .withoutExemplars()
                    .name("crocusturn_refusals")
                    .help("Refused or failed requests by reason")
                    .labelNames("reason")
                    .register(mRegistry);
    private final Histogram mLatency =
            Histogram.builder()
                    .withoutExemplars()
                    .name("crocusturn_request_seconds")
                    .help("Time from a whole request to its answer")
                    .labelNames("access")
                    .register(mRegistry);
    private final Histogram mQueueTime =
            Histogram.builder()
                    .withoutExemplars()
                    .name("crocusturn_queue_seconds")
                    .help("Time that requests waited for a token and a slot")
                    .register(mRegistry);
    private final Histogram mGroupsDelay =
            Histogram.builder()
                    .withoutExemplars()
                    .name("crocusturn_groups_delay_seconds")
                    .help("Time by which the duty of the groups ran its timer too late")
                    .register(mRegistry);
    private final Gauge mConfigurationVersion =
            Gauge.builder()
                    .withoutExemplars()
                    .name("crocusturn_configuration_version")
                    .help("Version of the configuration in force")
                    .register(mRegistry);
    private final Gauge mStateVersion =
            Gauge.builder()
                    .withoutExemplars()
                    .name("crocusturn_state_version")
                    .help("Version of the replicated state that this process has")
                    .register(mRegistry);
    private final Gauge mLeases =
            Gauge.builder()
                    .withoutExemplars()
                    .name("crocusturn_group_leases")
                    .help("Group leases held by this host, or granted by this leader")
                    .register(mRegistry);
    private final Gauge mFresh =
            Gauge.builder()
                    .withoutExemplars()
                    .name("crocusturn_fresh")
                    .help("1 while the freshness lease is valid")
                    .register(mRegistry);
    private final Gauge mLeads =
            Gauge.builder()
                    .withoutExemplars()
                    .name("crocusturn_leads")
                    .help("1 while this control host leads")
                    .register(mRegistry);
    private final Counter mGrantedTokens =
            Counter.builder()
                    .withoutExemplars()
                    .name("crocusturn_tokens_granted")
                    .help("Rate tokens granted or received")
                    .labelNames("workspace")
                    .register(mRegistry);
    private final Counter mSuspectAnswers =
            Counter.builder()
                    .withoutExemplars()
                    .name("crocusturn_suspect_answers")
                    .help("Answers of endpoints that were not those of the outstanding commands")
                    .labelNames("match")
                    .register(mRegistry);
    private final Counter mConnectionsOpened =
            Counter.builder()
                    .withoutExemplars()
                    .name("crocusturn_connections_opened")
                    .help("Connections to endpoints that were opened for statements, by reason")
                    .labelNames("reason")
                    .register(mRegistry);
    private final Counter mCallsRefused =
            Counter.builder()
                    .withoutExemplars()
                    .name("crocusturn_calls_refused")
                    .help("Calls that a leaseholder refused for lack of slots")
                    .labelNames("when")
                    .register(mRegistry);
    private final Histogram mFailoverTime =
            Histogram.builder()
                    .withoutExemplars()
                    .name("crocusturn_failover_seconds")
                    .help("Time from the start of a failover to its new primary")
                    .register(mRegistry);

    private final Counter mUsageWindows =
            Counter.builder()
                    .withoutExemplars()
                    .name("crocusturn_usage_windows")
                    .help("Usage windows that this leader closed or gave up")
                    .labelNames("state")
                    .register(mRegistry);
    private final Counter mUsageReports =
            Counter.builder()
                    .withoutExemplars()
                    .name("crocusturn_usage_reports")
                    .help("Usage reports that this leader sent, by outcome")
                    .labelNames("outcome")
                    .register(mRegistry);
    private final Counter mLateUsage =
            Counter.builder()
                    .withoutExemplars()
                    .name("crocusturn_usage_late_requests")
                    .help("Requests whose counts arrived after their window was closed")
                    .register(mRegistry);

    private Metrics() {}

    /** Creates metrics with initial values. */
    public static Metrics create() {
        return new Metrics();
    }

    /**
     * Records a completed request.
     *
     * @param workspace workspace of the caller
     * @param verdict whether the request ran
     * @param route role of the copy that served it, or the consistency that its session requires
     * @param access read or write
     * @param seconds time from the receipt of the whole request to its answer
     */
    public void recordRequest(
            String workspace, String verdict, String route, String access, double seconds) {
        mRequests.labelValues(workspace, verdict, route).inc();
        mLatency.labelValues(access).observe(seconds);
    }

    /** Counts a refused or failed request. */
    public void recordRefusal(String reason) {
        mRefusals.labelValues(reason).inc();
    }

    /** Records the time that a request spent in the queue, in seconds. */
    public void recordQueueTime(double seconds) {
        mQueueTime.observe(seconds);
    }

    /** Records by how much the duty of the groups ran its timer too late, in seconds. */
    public void recordGroupsDelay(double seconds) {
        mGroupsDelay.observe(seconds);
    }

    /** Sets the versions of the configuration and of the replicated state known to this process. */
    public void setVersions(long configuration, long state) {
        mConfigurationVersion.set(configuration);
        mStateVersion.set(state);
    }

    /** Sets the number of group leases. */
    public void setLeases(int count) {
        mLeases.set(count);
    }

    /** Sets whether the freshness lease is valid. */
    public void setFresh(boolean valid) {
        mFresh.set(valid ? 1 : 0);
    }

    /** Sets whether this control host is the leader. */
    public void setLeads(boolean leads) {
        mLeads.set(leads ? 1 : 0);
    }

    /** Counts granted rate tokens. */
    public void recordGrantedTokens(String workspace, long tokens) {
        mGrantedTokens.labelValues(workspace).inc(tokens);
    }

    /** Counts an answer that was not that of the outstanding command. */
    public void recordSuspectAnswer(String match) {
        mSuspectAnswers.labelValues(match).inc();
    }

    /** Counts a connection to an endpoint that is opened for statements. */
    public void recordConnectionOpened(OpeningReason reason) {
        mConnectionsOpened.labelValues(reason.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts a call that was refused for lack of slots on arrival, while queued or after that. */
    public void recordCallRefused(String when) {
        mCallsRefused.labelValues(when).inc();
    }

    /** Records the duration of a failover, in seconds. */
    public void recordFailover(double seconds) {
        mFailoverTime.observe(seconds);
    }

    /** Counts an event of the reporting of usage. */
    public void recordUsage(UsageMetric metric, long amount) {
        switch (metric) {
            case WINDOWS_CLOSED -> mUsageWindows.labelValues("closed").inc(amount);
            case WINDOWS_GIVEN_UP -> mUsageWindows.labelValues("given_up").inc(amount);
            case REPORTS_ACKNOWLEDGED -> mUsageReports.labelValues("acknowledged").inc(amount);
            case REPORTS_ACKNOWLEDGED_LATE ->
                    mUsageReports.labelValues("acknowledged_late").inc(amount);
            case CALLS_REFUSED -> mUsageReports.labelValues("refused").inc(amount);
            case CALLS_UNANSWERED -> mUsageReports.labelValues("unanswered").inc(amount);
            default -> mLateUsage.inc(amount);
        }
    }

    /** Returns the metrics in the Prometheus text format. */
    public HttpResponse scrape() {
        PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            writer.write(out, mRegistry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new HttpResponse(
                OK, Map.of("content-type", writer.getContentType()), out.toByteArray(), false);
    }
}
