import drainChart from "../charts/drain.json" with { type: "json" };
import { Chart } from "../utils/chart.ts";

export type DrainState = "serving" | "draining" | "stopping" | "stopped";
/** Who asked for the drain: the host list, a drain record or a peer's call. */
export type DrainCause = "host-list" | "record" | "peer";

/** Whether the backend server takes new work. */
export class Drain {
    private readonly chart = new Chart<DrainState, "DRAIN" | "RESUME" | "STOP" | "FINISHED">(drainChart);
    private readonly causes = new Set<DrainCause>();

    /** `onChange` is called when new work starts or stops being refused. */
    constructor(private readonly onChange: (refusesWork: boolean) => void) {}

    get state(): DrainState {
        return this.chart.state;
    }

    get refusesWork(): boolean {
        return this.state !== "serving";
    }

    get activeCauses(): readonly DrainCause[] {
        return [...this.causes];
    }

    set(cause: DrainCause, active: boolean): void {
        if (active) this.causes.add(cause);
        else this.causes.delete(cause);
        this.send(this.causes.size > 0 ? "DRAIN" : "RESUME");
    }

    stop(): void {
        this.send("STOP");
    }

    finish(): void {
        this.send("FINISHED");
    }

    private send(event: "DRAIN" | "RESUME" | "STOP" | "FINISHED"): void {
        const before = this.refusesWork;
        this.chart.send(event);
        if (this.refusesWork !== before) this.onChange(this.refusesWork);
    }
}
