import { nowMs } from "@skylarkmill/coordination";
import type { Refusal } from "@skylarkmill/protocol";
import type { GatewayContext } from "../../types/context.ts";
import type { CallerRequest } from "../../types/engine.ts";
import { refusals } from "../../utils/refusals.ts";

/** `wait`: the decision isn't known yet. */
export type AdmissionDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "wait"; }
    | { readonly kind: "refuse"; readonly refusal: Refusal; };

/** Admits one request within its workspace's quota. */
export class Admission {
    private state: "undecided" | "waiting" | "admitted" | "ended" = "undecided";
    private waitingSinceMs = 0;

    constructor(
        private readonly context: Pick<GatewayContext, "quotas" | "metrics">,
        private readonly request: CallerRequest,
    ) {}

    get isAdmitted(): boolean {
        return this.state === "admitted";
    }

    get isWaiting(): boolean {
        return this.state === "waiting";
    }

    /** Decides, or decides again after a wait; an admitted request stays so. */
    decide(): AdmissionDecision {
        if (this.state === "admitted") return { kind: "admitted" };
        const now = nowMs();
        if (this.state === "undecided") this.waitingSinceMs = now;
        const decision = this.context.quotas.decide(this.request, this, now - this.waitingSinceMs);
        if (decision.kind === "wait") {
            this.state = "waiting";
            return { kind: "wait" };
        }
        this.state = decision.kind === "admitted" ? "admitted" : "ended";
        if (decision.kind === "admitted") return { kind: "admitted" };
        this.context.metrics.quotaRefusals.inc({ reason: decision.kind });
        return {
            kind: "refuse",
            refusal: decision.kind === "exceeded"
                ? refusals.quotaExceeded(decision.roomInMs)
                : refusals.unavailable("quota_holder_lost", decision.retryAfterMs),
        };
    }

    /** Ends the stage; the quota gets its part back if the request certainly has not run. */
    end(mayHaveRun: boolean): void {
        if (this.state === "waiting") this.context.quotas.leave(this.request.workspaceId, this);
        if (this.state === "admitted" && !mayHaveRun) this.context.quotas.giveBack(this.request);
        this.state = "ended";
    }
}
