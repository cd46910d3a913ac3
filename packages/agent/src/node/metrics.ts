import type { Refusal } from "@skylarkmill/protocol";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { AttemptOutcome } from "../types/request.ts";
import type { ResponseCheckCounters } from "../types/response.ts";

const DURATION_BUCKETS_S = [0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100];

/** Functions that return the gauge values when the metrics are collected. */
export interface MetricSources {
    readonly queuedCount: () => number;
    readonly runningCount: () => number;
    readonly reservedBytes: () => number;
    readonly memorySizeBytes: () => number;
    readonly loadedModelCount: () => number;
}

/** Metrics of one agent. Uses a separate registry, since several agents may run in one process. */
export class AgentMetrics {
    private readonly registry = new Registry();
    private readonly refusals = this.counter("skylarkmill_agent_refusals_total", "Refusals", ["code", "execution"]);
    private readonly attempts = this.counter("skylarkmill_agent_attempts_total", "Dispatched requests", ["result"]);
    private readonly droppedChunks = this.counter(
        "skylarkmill_agent_dropped_chunks_total",
        "Foreign or repeated chunks",
    );
    private readonly resumedStreams = this.counter("skylarkmill_agent_resumed_streams_total", "Resumed streams");
    private readonly failedChecks = this.counter("skylarkmill_agent_failed_answers_total", "Bad answers", ["reason"]);
    private readonly durations = new Histogram({
        name: "skylarkmill_agent_attempt_seconds",
        help: "Duration of answered requests at the backend server",
        buckets: DURATION_BUCKETS_S,
        registers: [this.registry],
    });

    readonly responseChecks: ResponseCheckCounters = {
        countDroppedChunk: () => this.droppedChunks.inc(),
        countResumedStream: () => this.resumedStreams.inc(),
        countFailedCheck: reason => this.failedChecks.inc({ reason }),
    };

    constructor(sources: MetricSources) {
        this.gauge("skylarkmill_agent_queued_requests", "Requests that wait", sources.queuedCount);
        this.gauge("skylarkmill_agent_running_requests", "Requests that run", sources.runningCount);
        this.gauge("skylarkmill_agent_reserved_bytes", "Reserved engine memory", sources.reservedBytes);
        this.gauge("skylarkmill_agent_memory_bytes", "Engine memory", sources.memorySizeBytes);
        this.gauge("skylarkmill_agent_loaded_models", "Models that are not absent", sources.loadedModelCount);
    }

    recordRefusal(refusal: Refusal): void {
        this.refusals.inc({ code: refusal.code, execution: refusal.execution });
    }

    recordOutcome(outcome: AttemptOutcome): void {
        this.attempts.inc({ result: outcome.result });
        if (outcome.result === "answered") this.durations.observe(outcome.durationMs / 1000);
    }

    async collect(): Promise<{ readonly contentType: string; readonly text: string; }> {
        return { contentType: this.registry.contentType, text: await this.registry.metrics() };
    }

    private counter(name: string, help: string, labelNames: string[] = []): Counter {
        return new Counter({ name, help, labelNames, registers: [this.registry] });
    }

    private gauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }
}
