import { Counter, Gauge, Histogram, Registry } from "prom-client";

export type RequestOutcome = "answered" | "refused" | "disconnected" | "broken";

/** Metrics of one router. The number of label values is bounded by the number of configured services. */
export class RouterMetrics {
    readonly registry = new Registry();
    readonly received = new Counter({
        name: "skylarkmill_router_requests_received_total",
        help: "Requests received from callers.",
        registers: [this.registry],
    });
    readonly outcomes = new Counter({
        name: "skylarkmill_router_requests_total",
        help: "Requests ended, by service and outcome.",
        labelNames: ["service", "outcome"] as const,
        registers: [this.registry],
    });
    readonly refusals = new Counter({
        name: "skylarkmill_router_refusals_total",
        help: "Refusals sent to callers, by execution.",
        labelNames: ["execution"] as const,
        registers: [this.registry],
    });
    readonly durations = new Histogram({
        name: "skylarkmill_router_request_seconds",
        help: "Time from the receipt of a request to the end of its answer.",
        labelNames: ["service"] as const,
        buckets: [0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 60, 600],
        registers: [this.registry],
    });
    readonly attempts = new Counter({
        name: "skylarkmill_router_attempts_total",
        help: "Requests sent to agents, by reason: first, moved or hedge.",
        labelNames: ["reason"] as const,
        registers: [this.registry],
    });
    readonly lateChunks = new Counter({
        name: "skylarkmill_router_late_chunks_total",
        help: "Chunks of cancelled attempts that were dropped.",
        registers: [this.registry],
    });
    readonly chartFaults = new Counter({
        name: "skylarkmill_router_chart_faults_total",
        help: "Events that the attempt chart does not allow in its state.",
        registers: [this.registry],
    });

    constructor(getInProgressCount: () => number) {
        new Gauge({
            name: "skylarkmill_router_requests_in_progress",
            help: "Requests in progress.",
            registers: [this.registry],
            collect() {
                this.set(getInProgressCount());
            },
        });
    }

    countOutcome(service: string, outcome: RequestOutcome, durationMs: number): void {
        this.outcomes.inc({ service, outcome });
        this.durations.observe({ service }, durationMs / 1000);
    }
}
