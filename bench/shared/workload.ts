import type { RandomSource } from "@skylarkmill/policy";
import { type DataCentre, type ModelId, type RequestId, toId } from "@skylarkmill/protocol";
import type { Deployment, RequestClass } from "../deployments.ts";

export interface ModelSpec {
    readonly modelId: ModelId;
    readonly memoryBytes: number;
    readonly maxReplicas: number;
    /** Duration of a load from the weight store at full speed. */
    readonly remoteLoadMs: number;
}

export interface BenchRequest {
    readonly requestId: RequestId;
    readonly modelId: ModelId;
    readonly requestClass: RequestClass;
    /** Duration on a server of normal speed. */
    readonly workMs: number;
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
    readonly routerIndex: number;
}

/** Returns the data centre of the server or router with this index. */
export function dataCentreOf(deployment: Deployment, index: number): DataCentre {
    return toId<DataCentre>(`dc-${index % deployment.dataCentreCount}`);
}

/** Creates models with random memory, 1 to 4 replicas, and load times in proportion to their memory. */
export function generateModels(deployment: Deployment, random: RandomSource): ModelSpec[] {
    const [minBytes, maxBytes] = deployment.modelMemoryBytes;
    const fullSpeedMs = deployment.loadsInFlight / deployment.loadsPerSecond * 1_000;
    return Array.from({ length: deployment.modelCount }, (_, index) => {
        const memoryBytes = minBytes + (maxBytes - minBytes) * random.fraction();
        return {
            modelId: toId<ModelId>(`model-${String(index).padStart(2, "0")}`),
            memoryBytes,
            maxReplicas: 1 + random.index(4),
            remoteLoadMs: fullSpeedMs * memoryBytes / ((minBytes + maxBytes) / 2),
        };
    });
}

/**
 * Creates requests with numbered ids and log-normally distributed durations. The standard deviation of the durations'
 * natural logarithm is 0.4, also in the mean-to-median ratios of the measures.
 */
export class RequestGenerator {
    private count = 0;

    constructor(private readonly deployment: Deployment, private readonly random: RandomSource) {}

    create(atMs: number, modelId: ModelId, requestClass: RequestClass, routerIndex?: number): BenchRequest {
        this.count += 1;
        const arrivedAtMs = atMs + this.deployment.callerDelayMs;
        return {
            requestId: toId<RequestId>(`request-${this.count}`),
            modelId,
            requestClass,
            workMs: requestClass.medianMs * Math.exp(0.4 * this.normalSample()),
            arrivedAtMs,
            deadlineAtMs: arrivedAtMs + requestClass.timeoutMs,
            routerIndex: routerIndex ?? this.random.index(this.deployment.routerCount),
        };
    }

    /** Generates arrival times of a Poisson process with a varying rate of at most `maxPerSecond`. */
    generateArrivals(
        fromMs: number,
        untilMs: number,
        maxPerSecond: number,
        ratePerSecond: (atMs: number) => number,
    ): number[] {
        const times: number[] = [];
        for (let atMs = fromMs;;) {
            atMs += -Math.log(1 - this.random.fraction()) / maxPerSecond * 1_000;
            if (atMs >= untilMs) return times;
            if (this.random.fraction() * maxPerSecond < ratePerSecond(atMs)) times.push(atMs);
        }
    }

    private normalSample(): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random.fraction()));
        return radius * Math.cos(2 * Math.PI * this.random.fraction());
    }
}
