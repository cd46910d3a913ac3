import { processLoopShare } from "@skylarkmill/coordination";
import type { WorkspaceId } from "@skylarkmill/protocol";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Largest number of workspaces with a label of their own. */
const MAX_LABELLED_WORKSPACES = 64;
const SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/** Defines the metrics of one gateway; every label has a bounded set of values. */
export class GatewayMetrics {
    readonly registry = new Registry();
    private readonly labelledWorkspaces = new Set<WorkspaceId>();
    readonly requests = this.counter("requests_total", "Requests by route kind and how they ended.", ["kind", "end"]);
    readonly attempts = this.counter("attempts_total", "Attempts at backend servers by reason.", ["reason"]);
    readonly failures = this.counter("attempt_failures_total", "Attempts that brought no answer, by cause.", [
        "cause",
    ]);
    readonly orders = this.counter("orders_total", "Orders to model engines by kind and outcome.", ["kind", "outcome"]);
    readonly storeCalls = this.counter("store_calls_total", "Calls to the key-value service by result.", ["result"]);
    readonly serverNotices = this.counter(
        "server_notices_total",
        "Statements of servers in responses: leaving, hold, or an invalid time.",
        ["kind"],
    );
    readonly heldRequests = this.counter(
        "held_requests_total",
        "Requests for which every server was on hold.",
        [],
    );
    readonly limitedServers = this.gauge(
        "rate_limited_servers",
        "Servers that state a rate for all gateways together.",
    );
    readonly rateWaits = this.counter(
        "rate_waits_total",
        "Requests that waited for a server that states a rate, by how the wait ended: sent, elsewhere or refused.",
        ["end"],
    );
    readonly unverifiedEnds = this.counter(
        "unverified_stream_ends_total",
        "Streams that ended with their server's connection, without a length or chunks.",
        [],
    );
    readonly refusedHeads = this.counter(
        "refused_heads_total",
        "Request heads that were refused, by reason: late, too_large, limit_raised, malformed, ahead or no_memory.",
        ["reason"],
    );
    readonly refusedBodies = this.counter(
        "refused_bodies_total",
        "Requests refused for their bodies, by reason: late, too_long, no_small_memory or no_large_memory.",
        ["reason"],
    );
    readonly heldConnections = this.gauge(
        "held_connections",
        "Connections that wait for their turn to be read, since their bodies come in very many pieces.",
        () => processLoopShare.waitingCount,
    );
    readonly costlyReads = this.total(
        "costly_reads_total",
        "Reads after which a connection had to wait for its turn.",
        () => processLoopShare.totals.readCount,
    );
    readonly costlyReadSeconds = this.total(
        "costly_read_seconds_total",
        "Time that such reads took on the event loop.",
        () => processLoopShare.totals.costMs / 1_000,
    );
    readonly heldSeconds = this.total(
        "held_seconds_total",
        "Time that connections waited for their turn, over all of them.",
        () => processLoopShare.totals.heldMs / 1_000,
    );
    readonly unreadResponses = this.counter(
        "unread_responses_ended_total",
        "Long responses that were ended for lack of memory, since their callers read nothing.",
        [],
    );
    readonly quotaRefusals = this.counter(
        "quota_refusals_total",
        "Requests refused for their workspace's quota, by reason: exceeded, or unknown if no holder answered.",
        ["reason"],
    );
    readonly workspaceRequests = this.counter(
        "workspace_requests_total",
        "Requests by workspace and how they ended; workspaces beyond a number count as other.",
        ["workspace", "end"],
    );
    readonly unknownKeys = this.counter("unknown_keys_total", "Requests without a key of any workspace.", []);
    readonly skippedLogLines = this.counter("log_lines_skipped_total", "Log lines left out by the rate limit.", []);
    readonly inProgress = this.gauge("requests_in_progress", "Requests without a complete answer.");
    readonly waitingForPlaces = this.gauge(
        "requests_waiting_for_places",
        "Requests that wait for a place at a server, in the order that is fair to workspaces.",
    );
    readonly plansPlacement = this.gauge(
        "plans_placement",
        "1 while this gateway plans which engine holds which model.",
    );
    readonly orderedEngines = this.gauge("ordered_engines", "Model engines that this gateway may order.");
    readonly configurationVersion = this.gauge("configuration_version", "Version of the configuration in force.");
    readonly firstByteSeconds = this.histogram(
        "first_byte_seconds",
        "Time from a request's arrival to its first byte.",
    );
    readonly waitSeconds = this.histogram("wait_seconds", "Time that a request waited for a model or adapter.");

    /** Counts a request of a workspace; the number of labels is bounded. */
    countWorkspaceRequest(workspaceId: WorkspaceId, end: string): void {
        const { labelledWorkspaces } = this;
        if (labelledWorkspaces.size < MAX_LABELLED_WORKSPACES) labelledWorkspaces.add(workspaceId);
        const workspace = labelledWorkspaces.has(workspaceId) ? workspaceId : "other";
        this.workspaceRequests.inc({ workspace, end });
    }

    private counter(name: string, help: string, labelNames: string[]): Counter {
        return new Counter({ name: `skylarkmill_gateway_${name}`, help, labelNames, registers: [this.registry] });
    }

    /** A counter whose value is kept elsewhere. */
    private total(name: string, help: string, read: () => number): Counter {
        return new Counter({
            name: `skylarkmill_gateway_${name}`,
            help,
            registers: [this.registry],
            collect() {
                this.reset();
                this.inc(read());
            },
        });
    }

    /** @param read Returns the value, where it is kept elsewhere. */
    private gauge(name: string, help: string, read?: () => number): Gauge {
        return new Gauge({
            name: `skylarkmill_gateway_${name}`,
            help,
            registers: [this.registry],
            ...(read === undefined ? {} : {
                collect() {
                    this.set(read());
                },
            }),
        });
    }

    private histogram(name: string, help: string): Histogram {
        const buckets = SECONDS_BUCKETS;
        return new Histogram({ name: `skylarkmill_gateway_${name}`, help, buckets, registers: [this.registry] });
    }
}
