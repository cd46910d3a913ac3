import drainChart from "../charts/drain.json" with { type: "json" };
import { Chart } from "../utils/chart.ts";

export type DrainState = "serving" | "draining" | "stopping" | "stopped";
/** Reason for a drain: the host list, a drain record or a peer's call. */
export type DrainCause = "host-list" | "record" | "peer";

/** Controls whether the agent accepts new requests. Drains while at least one cause is active. */
export class Drain {
    private readonly chart = new Chart<DrainState, "DRAIN" | "RESUME" | "STOP" | "FINISHED">(drainChart);
    private readonly causes = new Set<DrainCause>();

    /** `onChange` is called when the agent starts or stops refusing new requests. */
    constructor(private readonly onChange: (isRefusingRequests: boolean) => void) {}

    get state(): DrainState {
        return this.chart.state;
    }

    get isRefusingRequests(): boolean {
        return this.state !== "serving";
    }

    get activeCauses(): readonly DrainCause[] {
        return [...this.causes];
    }

    setCause(cause: DrainCause, active: boolean): void {
        if (active) this.causes.add(cause);
        else this.causes.delete(cause);
        this.sendEvent(this.causes.size > 0 ? "DRAIN" : "RESUME");
    }

    stop(): void {
        this.sendEvent("STOP");
    }

    finish(): void {
        this.sendEvent("FINISHED");
    }

    private sendEvent(event: "DRAIN" | "RESUME" | "STOP" | "FINISHED"): void {
        const wasRefusing = this.isRefusingRequests;
        this.chart.send(event);
        if (this.isRefusingRequests !== wasRefusing) this.onChange(this.isRefusingRequests);
    }
}
