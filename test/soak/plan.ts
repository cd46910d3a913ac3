import type { RandomSource } from "@skylarkmill/policy";
import type { ServerFault } from "../platform/stand-ins/platform-server.ts";

/** What happens at a moment of a soak. */
export type Step =
    & { readonly atMs: number; }
    & (
        | { readonly kind: "signal"; readonly gateway: number; readonly signal: NodeJS.Signals; }
        | { readonly kind: "fault"; readonly fault: ServerFault; }
        | { readonly kind: "configuration"; readonly timeoutMs: number; }
    );

const MIN_INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 900;
const MAX_SIGNAL_DELAY_MS = 1_800;
const MAX_GATEWAYS_AT_ONCE = 4;

const PLANNED_SERIES = ["TERM", "TERM TERM", "HUP", "TERM HUP", "HUP TERM"];
const SERIES = [...PLANNED_SERIES, "KILL", "STOP CONT", "TERM KILL", "TERM STOP CONT", "STOP TERM CONT", "STOP KILL"];
/** A stream without a length that closes in order between two events isn't among them: it can't be told from its end. */
const FAULTS =
    ("closed_between_events closed_within_event stream_without_length reset_stream_without_length without_length "
        + "reset_without_length truncated_body reset_before_response refused_as_not_run misdirected status_500 "
        + "duplicate_response slow_events reset_with_last_bytes").split(" ") as ServerFault[];

/** Creates the steps of a soak by time; if planned, they are stops, hangups and changes of the configuration alone. */
export function createPlan(random: RandomSource, gatewayCount: number, durationMs: number, isPlanned: boolean): Step[] {
    const steps: Step[] = [];
    for (let atMs = 0; atMs < durationMs; atMs += MIN_INTERVAL_MS + random.index(MAX_INTERVAL_MS - MIN_INTERVAL_MS)) {
        const kind = (["configuration", "signal", "fault", "fault"] as const)[random.index(4)]!;
        if (kind === "configuration") steps.push({ atMs, kind, timeoutMs: 8_000 + random.index(4_000) });
        else if (kind === "fault" && !isPlanned) {
            steps.push({ atMs, kind, fault: FAULTS[random.index(FAULTS.length)]! });
        }
        else steps.push(...createSignals(random, atMs, gatewayCount, isPlanned ? PLANNED_SERIES : SERIES));
    }
    return steps.sort((a, b) => a.atMs - b.atMs);
}

function createSignals(random: RandomSource, startMs: number, gatewayCount: number, series: readonly string[]): Step[] {
    const steps: Step[] = [];
    for (let count = 1 + random.index(MAX_GATEWAYS_AT_ONCE); count > 0; count -= 1) {
        const gateway = random.index(gatewayCount);
        let atMs = startMs;
        for (const name of series[random.index(series.length)]!.split(" ")) {
            steps.push({ atMs, kind: "signal", gateway, signal: `SIG${name}` as NodeJS.Signals });
            atMs += random.index(MAX_SIGNAL_DELAY_MS);
        }
    }
    return steps;
}
