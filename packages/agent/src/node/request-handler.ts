import type { BackendClient } from "@skylarkmill/adapters";
import type { ServiceId } from "@skylarkmill/protocol";
import type Logger from "bunyan";
import { Attempt, createRefusalResponse } from "../runtime/attempt.ts";
import type { BackendTask } from "../runtime/backend-task.ts";
import { StreamNumbering } from "../runtime/stream-checker.ts";
import type { AgentLimits } from "../types/options.ts";
import type { AttemptOutcome, DispatchDecision, RequestHead } from "../types/request.ts";
import type { AgentResponse } from "../types/response.ts";
import { toBackendHeaders } from "../utils/forwarded-headers.ts";
import { REFUSALS } from "../utils/refusals.ts";
import type { AgentMetrics } from "./metrics.ts";
import type { RoutedRequest } from "./request-server.ts";

export interface RequestHandlerOptions {
    readonly serviceId: ServiceId;
    readonly isModelService: boolean;
    readonly backend: BackendClient;
    readonly task: BackendTask;
    readonly metrics: AgentMetrics;
    readonly limits: AgentLimits;
    readonly logger: Logger;
}

/** Queues a router's request at the backend task and then sends it to the backend server. */
export class RequestHandler {
    private readonly numbering: StreamNumbering | undefined;

    constructor(private readonly options: RequestHandlerOptions) {
        this.numbering = options.isModelService ? new StreamNumbering() : undefined;
    }

    async handle(request: RoutedRequest): Promise<AgentResponse> {
        const { head } = request;
        if (head.serviceId !== this.options.serviceId) return createRefusalResponse(REFUSALS.wrongService());
        const decision = await this.awaitDecision(request);
        if (decision.kind === "refuse") return createRefusalResponse(decision.refusal);
        const attempt = this.createAttempt(request);
        try {
            return await attempt.run();
        }
        catch (error) {
            const { requestId } = head;
            this.options.logger.error(
                { requestId, step: "attempt", peer: "backend", err: error },
                "attempt failed with an unexpected error",
            );
            return attempt.abandon();
        }
    }

    private createAttempt(request: RoutedRequest): Attempt {
        const { backend, limits, metrics, task } = this.options;
        return new Attempt({
            backend,
            head: request.head,
            method: request.method,
            path: request.path,
            headers: toBackendHeaders(request.headers.entries()),
            body: request.body,
            numbering: this.numbering,
            maxResponseBytes: limits.maxResponseBytes,
            maxResumeCount: limits.maxResumeCount,
            counters: metrics.responseChecks,
            signal: request.signal,
            onModelMissing: () => task.mailbox.post({ kind: "read-index" }),
            onFinished: outcome => this.recordOutcome(request.head, outcome),
        });
    }

    private recordOutcome(head: RequestHead, outcome: AttemptOutcome): void {
        const { task, metrics, logger } = this.options;
        metrics.recordOutcome(outcome);
        task.mailbox.post({ kind: "finished", attemptId: head.attemptId, outcome });
        if (outcome.result === "answered") return;
        const { requestId, attemptId } = head;
        logger.info(
            { requestId, attemptId, step: "backend.send", peer: "backend", ...outcome },
            "attempt ended without a complete response",
        );
    }

    private awaitDecision({ head, signal }: RoutedRequest): Promise<DispatchDecision> {
        const { mailbox } = this.options.task;
        return new Promise(resolve => {
            const cancel = (): void => {
                mailbox.post({ kind: "cancel", attemptId: head.attemptId });
            };
            const onDecision = (decision: DispatchDecision): void => {
                signal.removeEventListener("abort", cancel);
                resolve(decision);
            };
            if (!mailbox.post({ kind: "arrive", head, onDecision })) {
                onDecision({ kind: "refuse", refusal: REFUSALS.draining() });
                return;
            }
            signal.addEventListener("abort", cancel, { once: true });
            if (signal.aborted) cancel();
        });
    }
}
