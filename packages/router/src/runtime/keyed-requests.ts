import type { ClaimInput, ClaimOutcome, ClaimRecord, ClaimResult, ClaimWriter } from "@skylarkmill/coordination";
import { HEADERS, type Refusal } from "@skylarkmill/protocol";
import { createHash } from "node:crypto";
import type { RouterContext } from "../types/context.ts";
import type { RequestSpec } from "../types/request.ts";
import { nowMs } from "../utils/clock.ts";
import { refusals } from "../utils/refusals.ts";
import type { AnswerWriter } from "./answer-writer.ts";
import { type RequestEnd, RequestTask } from "./request-task.ts";
import type { RouterRoster } from "./router-roster.ts";

/** Maximum request timeout of 600 s plus a margin; no process is still working on a claim that is open for longer. */
const LONGEST_OPEN_MS = 620_000;

type Claimed = ClaimResult | { readonly kind: "unavailable"; };

/**
 * Runs non-idempotent requests with an idempotency key. The key is claimed durably before the request is
 * dispatched, and the outcome is stored with the claim.
 */
export class KeyedRequests {
    private readonly context: RouterContext;
    private readonly claims: ClaimWriter;
    private readonly roster: RouterRoster;

    constructor(context: RouterContext, claims: ClaimWriter, roster: RouterRoster) {
        this.context = context;
        this.claims = claims;
        this.roster = roster;
    }

    /** Runs the request, or replays or refuses it if its key has already been claimed. */
    async run(spec: RequestSpec, writer: AnswerWriter, onEnded: (end: RequestEnd) => void): Promise<void> {
        const input = this.toInput(spec);
        const claimed = await this.claim(input, spec);
        if (claimed.kind === "claimed") return this.runClaimed(input, spec, writer, onEnded);
        if (claimed.kind === "unavailable") return refuse(writer, refusals.claimStoreUnavailable(), onEnded);
        const { record } = claimed;
        const { outcome } = record;
        // An unreadable claim has an empty fingerprint; the request that wrote it may have run.
        if (record.fingerprint === "") return refuse(writer, refusals.outcomeOfKeyUnknown(), onEnded);
        if (record.fingerprint !== input.record.fingerprint) return refuse(writer, refusals.keyReused(), onEnded);
        if (outcome?.kind === "finished" && outcome.bodyBase64 !== undefined) {
            return replay(writer, outcome, outcome.bodyBase64, onEnded);
        }
        refuse(writer, await this.refusalOf(record), onEnded);
    }

    private toInput(spec: RequestSpec): ClaimInput {
        return {
            serviceId: spec.target.serviceId,
            idempotencyKey: spec.idempotencyKey!,
            record: {
                requestId: spec.requestId,
                attemptId: this.context.newAttemptId(),
                fingerprint: fingerprintOf(spec),
            },
        };
    }

    /** Claims the key within the deadline. A claim that succeeds later is released by completing it as `not_run`. */
    private claim(input: ClaimInput, spec: RequestSpec): Promise<Claimed> {
        return new Promise(resolve => {
            let over = false;
            const settle = (claimed: Claimed) => {
                if (over && claimed.kind === "claimed") this.complete(input, "not_run", 503);
                over = true;
                clearTimeout(timer);
                resolve(claimed);
            };
            const timer = setTimeout(() => settle({ kind: "unavailable" }), spec.deadlineAtMs - nowMs());
            void this.claims.claim(input).match(settle, error => {
                const { step, peer, message } = error;
                this.context.logger.warn(
                    { requestId: spec.requestId, step, peer },
                    `idempotency key could not be claimed: ${message}`,
                );
                settle({ kind: "unavailable" });
            });
        });
    }

    private runClaimed(
        input: ClaimInput,
        spec: RequestSpec,
        writer: AnswerWriter,
        onEnded: (end: RequestEnd) => void,
    ): void {
        if (writer.isGone) {
            this.complete(input, "not_run", 503);
            return onEnded({ kind: "disconnected", execution: "not_run" });
        }
        new RequestTask(this.context, spec, writer, end => {
            this.store(input, end);
            onEnded(end);
        }).start();
    }

    private store(input: ClaimInput, end: RequestEnd): void {
        if (end.kind === "answered") {
            const contentType = end.head.headers["content-type"];
            this.claims.complete(input, {
                kind: "finished",
                status: end.head.status,
                contentType: typeof contentType === "string" ? contentType : "",
                bodyBase64: end.body?.toString("base64"),
            });
        }
        else this.complete(input, end.kind === "broken" ? "unknown" : end.execution, 502);
    }

    private complete(input: ClaimInput, kind: ClaimOutcome["kind"], status: number): void {
        this.claims.complete(input, { kind, status, contentType: "", bodyBase64: undefined });
    }

    private async refusalOf(record: ClaimRecord): Promise<Refusal> {
        if (record.outcome?.kind === "finished") return refusals.outcomeNotStored(record.outcome.status);
        if (record.outcome !== undefined) return refusals.outcomeOfKeyUnknown();
        if (Date.now() - record.claimedAtMs > LONGEST_OPEN_MS) return refusals.outcomeOfKeyUnknown();
        const isOwn = record.processId === this.context.options.processId;
        const mayRun = isOwn || await this.roster.mayRun(record.processId);
        return mayRun ? refusals.requestInProgress() : refusals.outcomeOfKeyUnknown();
    }
}

function refuse(writer: AnswerWriter, refusal: Refusal, onEnded: (end: RequestEnd) => void): void {
    writer.refuse(refusal);
    onEnded({ kind: "refused", execution: refusal.execution });
}

function replay(
    writer: AnswerWriter,
    outcome: ClaimOutcome,
    bodyBase64: string,
    onEnded: (end: RequestEnd) => void,
): void {
    const head = {
        status: outcome.status,
        headers: outcome.contentType === "" ? {} : { "content-type": outcome.contentType },
    };
    const body = Buffer.from(bodyBase64, "base64");
    writer.sendWhole(head, body, { [HEADERS.idempotencyReplayed]: "true" });
    onEnded({ kind: "answered", head, body });
}

function fingerprintOf(spec: RequestSpec): string {
    const hash = createHash("sha256").update(`${spec.method}\0${spec.path}\0`);
    if (spec.body !== undefined) hash.update(spec.body);
    return hash.digest("hex");
}
