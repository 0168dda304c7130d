"""Load reports to sums. Pure. Source: envoy.service.load_stats.v3, envoy.config.endpoint.v3 load reports.

A cluster is a request kind, an endpoint a host. Seconds of answers and the hosts' utilization come as the
load metrics `seconds` and `util`.
"""

SPAN_LEAST, SPAN_MOST = 0.05, 600.0
COUNT_MOST = 10_000_000  # tries in one report: more is a counter that overflowed


def read_report(request, kinds, host_of, proxy, zone, gathered):
    """One LoadStatsRequest into `gathered` (gather.py); what names unknown hosts or kinds, or counts backwards, is
    passed over. `host_of((address, port))` gives an index or None."""
    for cluster in request.cluster_stats:
        kind = kinds.get(cluster.cluster_name)
        span = cluster.load_report_interval.seconds + cluster.load_report_interval.nanos / 1e9
        if kind is None or not SPAN_LEAST <= span <= SPAN_MOST:
            continue
        asked, done = min(cluster.total_dropped_requests, COUNT_MOST), 0
        for place in cluster.upstream_locality_stats:
            for one in place.upstream_endpoint_stats:
                address = one.address.socket_address
                good, bad = one.total_successful_requests, one.total_error_requests
                if good + bad > COUNT_MOST:
                    continue
                asked, done = asked + good + bad, done + good
                host = host_of((address.address, address.port_value))
                if host is not None and good + bad:
                    gathered.host(host, zone, good + bad, bad, *read_metrics(one), span)
        if asked:
            gathered.reqs(proxy, kind, asked, asked - done, span)


def read_metrics(one):
    """(seconds of the good tries, sum of the utilizations, how many told one)."""
    seconds, util, utils = 0.0, 0.0, 0
    for metric in one.load_metric_stats:
        many, total = metric.num_requests_finished_with_metric, metric.total_metric_value
        if not 0 < many <= COUNT_MOST or not 0 <= total < 1e9:
            continue
        if metric.metric_name == "seconds":
            seconds += total
        elif metric.metric_name == "util":
            util += total
            utils += many
    return seconds, util, utils
