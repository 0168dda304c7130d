"""Load reports to sums. Pure. Source: envoy.service.load_stats.v3, envoy.config.endpoint.v3 load reports.

A cluster is a request kind, an endpoint a host. Seconds of answers and the hosts' utilization come as the
load metrics `seconds` and `util`.
"""

from .. import interface as our

SPAN_LEAST, SPAN_MOST = 0.05, 600.0
COUNT_MOST = 10_000_000  # tries in one report: more is a counter that overflowed


def read_report(request, kinds, host_of, proxy, zone):
    """[HostSums and ReqSums] of one LoadStatsRequest; what names unknown hosts or kinds, or counts backwards,
    is passed over. `host_of((address, port))` gives an index or None."""
    hosts, reqs = {}, []
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
                    add_host(hosts.setdefault(host, [0, 0, 0.0, 0.0, 0, span]), one, good, bad)
        if asked:
            reqs.append(our.ReqSums(proxy, kind, asked, asked - done, span))
    return reqs + [our.HostSums(host, zone, tries, bad, span, seconds / max(1, tries - bad),
                                {"util": util / reports} if reports else None)
                   for host, (tries, bad, seconds, util, reports, span) in sorted(hosts.items())]


def add_host(sums, one, good, bad):
    sums[0] += good + bad
    sums[1] += bad
    for metric in one.load_metric_stats:
        many, total = metric.num_requests_finished_with_metric, metric.total_metric_value
        if not 0 < many <= COUNT_MOST or not 0 <= total < 1e9:
            continue
        if metric.metric_name == "seconds":
            sums[2] += total
        elif metric.metric_name == "util":
            sums[3] += total
            sums[4] += many
