package org.review2;

import java.util.List;
import java.util.stream.Collectors;

/** Configurations as the operator sends them. */
final class Configs {
    static final String KEY = "u6wsjnbanfqasnmgkcuy";

    private Configs() {}

    /** A configuration with three routes for each of some services and one tenant. */
    static String of(long version, List<String> services, int rate) {
        return ("{'version':"
                        + version
                        + ",'routes':["
                        + services.stream().map(Configs::routes).collect(Collectors.joining(","))
                        + "],'services':["
                        + services.stream()
                                .map(
                                        s ->
                                                "{'name':'"
                                                        + s
                                                        + "','health-path':'/healthz',"
                                                        + "'max-conns':16,'protocol':'h1',"
                                                        + "'tls':false,'cold-start-s':0.0,"
                                                        + "'cold-per-s':0.0,'sync-replicas':1}")
                                .collect(Collectors.joining(","))
                        + "],'limits':{'max-header-bytes':16384,'max-body-bytes':262144,"
                        + "'header-timeout-ms':3000,'idle-timeout-ms':15000,'tx-idle-ms':3000},"
                        + "'tenants':[{'name':'nypu920','api-keys':['"
                        + KEY
                        + "'],'priority':1,'rate-per-s':"
                        + rate
                        + ",'burst':"
                        + rate
                        + "}]}")
                .replace('\'', '"');
    }

    private static String routes(String service) {
        return route(service, "primary", "-p", 1, "")
                + ","
                + route(service, "bounded_staleness", "-b", 2, ",'max-staleness-ms':1500")
                + ","
                + route(service, "read_your_writes", "-o", 2, ",'max-staleness-ms':2500");
    }

    private static String route(
            String service, String type, String suffix, int priority, String more) {
        return "{'name':'r-"
                + service
                + suffix
                + "','host':'"
                + service
                + suffix
                + "','path-prefix':'/','type':'"
                + type
                + "','timeout-ms':1500,'target-latency-ms':400,'priority':"
                + priority
                + ",'service':'"
                + service
                + "','max-attempts':2"
                + more
                + ",'allow-anonymous':false}";
    }
}
