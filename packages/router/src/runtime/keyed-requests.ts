import {
    type ClaimInput,
    type ClaimOutcome,
    type ClaimRecord,
    type ClaimResult,
    type ClaimWriter,
    nowMs,
} from "@skylarkmill/coordination";
import { HEADERS, type Refusal } from "@skylarkmill/protocol";
import { createHash } from "node:crypto";
import type { RouterContext } from "../types/context.ts";
import type { RequestSpec } from "../types/request.ts";
import { refusals } from "../utils/refusals.ts";
import { type RequestResult, RequestTask } from "./request-task.ts";
import type { ResponseWriter } from "./response-writer.ts";
import type { RouterProcessTracker } from "./router-process-tracker.ts";

/** Maximum request timeout of 600 s plus a margin; no process is still working on a claim that is open for longer. */
const MAX_OPEN_CLAIM_MS = 620_000;

type KeyClaimResult = ClaimResult | { readonly kind: "unavailable"; };

/**
 * Runs non-idempotent requests with an idempotency key. The key is claimed durably before the request is
 * dispatched, and the outcome is stored with the claim.
 */
export class KeyedRequests {
    private readonly context: RouterContext;
    private readonly claims: ClaimWriter;
    private readonly routerProcesses: RouterProcessTracker;

    constructor(context: RouterContext, claims: ClaimWriter, routerProcesses: RouterProcessTracker) {
        this.context = context;
        this.claims = claims;
        this.routerProcesses = routerProcesses;
    }

    /** Runs the request, or replays or refuses it if its key has already been claimed. */
    async run(spec: RequestSpec, writer: ResponseWriter, onEnded: (result: RequestResult) => void): Promise<void> {
        const input = this.toClaimInput(spec);
        const claimResult = await this.claimKey(input, spec);
        if (claimResult.kind === "claimed") return this.runClaimed(input, spec, writer, onEnded);
        if (claimResult.kind === "unavailable") return sendRefusal(writer, refusals.claimStoreUnavailable(), onEnded);
        const { record } = claimResult;
        const { outcome } = record;
        // An unreadable claim has an empty fingerprint; the request that wrote it may have run.
        if (record.fingerprint === "") return sendRefusal(writer, refusals.outcomeUnknown(), onEnded);
        if (record.fingerprint !== input.record.fingerprint) {
            return sendRefusal(writer, refusals.idempotencyKeyReused(), onEnded);
        }
        if (outcome?.kind === "finished" && outcome.bodyBase64 !== undefined) {
            return replayOutcome(writer, outcome, outcome.bodyBase64, onEnded);
        }
        sendRefusal(writer, await this.refusalForClaim(record), onEnded);
    }

    private toClaimInput(spec: RequestSpec): ClaimInput {
        return {
            serviceId: spec.target.serviceId,
            idempotencyKey: spec.idempotencyKey!,
            record: {
                requestId: spec.requestId,
                attemptId: this.context.createAttemptId(),
                fingerprint: computeFingerprint(spec),
            },
        };
    }

    /** Claims the key within the deadline. A claim that succeeds later is released by completing it as `not_run`. */
    private claimKey(input: ClaimInput, spec: RequestSpec): Promise<KeyClaimResult> {
        return new Promise(resolve => {
            let isSettled = false;
            const finish = (claimResult: KeyClaimResult) => {
                if (isSettled && claimResult.kind === "claimed") this.completeClaim(input, "not_run", 503);
                isSettled = true;
                clearTimeout(timer);
                resolve(claimResult);
            };
            const timer = setTimeout(() => finish({ kind: "unavailable" }), spec.deadlineAtMs - nowMs());
            void this.claims.claim(input).match(finish, error => {
                const { step, peer, message } = error;
                this.context.logger.warn(
                    { requestId: spec.requestId, step, peer },
                    `idempotency key could not be claimed: ${message}`,
                );
                finish({ kind: "unavailable" });
            });
        });
    }

    private runClaimed(
        input: ClaimInput,
        spec: RequestSpec,
        writer: ResponseWriter,
        onEnded: (result: RequestResult) => void,
    ): void {
        if (writer.isClosed) {
            this.completeClaim(input, "not_run", 503);
            return onEnded({ kind: "disconnected", execution: "not_run" });
        }
        new RequestTask(this.context, spec, writer, result => {
            this.storeOutcome(input, result);
            onEnded(result);
        }).start();
    }

    private storeOutcome(input: ClaimInput, result: RequestResult): void {
        if (result.kind === "answered") {
            const contentType = result.head.headers["content-type"];
            this.claims.complete(input, {
                kind: "finished",
                status: result.head.status,
                contentType: typeof contentType === "string" ? contentType : "",
                bodyBase64: result.body?.toString("base64"),
            });
        }
        else this.completeClaim(input, result.kind === "broken" ? "unknown" : result.execution, 502);
    }

    private completeClaim(input: ClaimInput, kind: ClaimOutcome["kind"], status: number): void {
        this.claims.complete(input, { kind, status, contentType: "", bodyBase64: undefined });
    }

    private async refusalForClaim(record: ClaimRecord): Promise<Refusal> {
        if (record.outcome?.kind === "finished") return refusals.outcomeNotStored(record.outcome.status);
        if (record.outcome !== undefined) return refusals.outcomeUnknown();
        if (Date.now() - record.claimedAtMs > MAX_OPEN_CLAIM_MS) return refusals.outcomeUnknown();
        const isOwnClaim = record.processId === this.context.options.processId;
        const mayBeRunning = isOwnClaim || await this.routerProcesses.mayBeRunning(record.processId);
        return mayBeRunning ? refusals.requestInProgress() : refusals.outcomeUnknown();
    }
}

function sendRefusal(writer: ResponseWriter, refusal: Refusal, onEnded: (result: RequestResult) => void): void {
    writer.refuse(refusal);
    onEnded({ kind: "refused", execution: refusal.execution });
}

function replayOutcome(
    writer: ResponseWriter,
    outcome: ClaimOutcome,
    bodyBase64: string,
    onEnded: (result: RequestResult) => void,
): void {
    const head = {
        status: outcome.status,
        headers: outcome.contentType === "" ? {} : { "content-type": outcome.contentType },
    };
    const body = Buffer.from(bodyBase64, "base64");
    writer.sendComplete(head, body, { [HEADERS.idempotencyReplayed]: "true" });
    onEnded({ kind: "answered", head, body });
}

function computeFingerprint(spec: RequestSpec): string {
    const hash = createHash("sha256").update(`${spec.method}\0${spec.path}\0`);
    if (spec.body !== undefined) hash.update(spec.body);
    return hash.digest("hex");
}
