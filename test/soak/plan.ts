import type { RandomSource } from "@skylarkmill/policy";
import type { ServerFault } from "../platform/stand-ins/platform-server.ts";
import type { StoreOutage } from "../platform/stand-ins/platform-store.ts";

/** What happens at a moment of a soak. */
export type Step =
    & { readonly atMs: number; }
    & (
        | { readonly kind: "signal"; readonly gateway: number; readonly signal: NodeJS.Signals; }
        | { readonly kind: "fault"; readonly fault: ServerFault; }
        | { readonly kind: "configuration"; readonly timeoutMs: number; }
        /** The settings file is written in two parts, with SIGHUP behind the second. */
        | { readonly kind: "settings"; readonly gateway: number; readonly durationMs: number; }
        /** The process gets a share of a processor only. */
        | { readonly kind: "slow"; readonly gateway: number; readonly durationMs: number; }
        | { readonly kind: "outage"; readonly outage: StoreOutage; readonly durationMs: number; }
        /** The service is away and comes back from a copy of its data. */
        | { readonly kind: "restore"; readonly copyAgeMs: number; readonly durationMs: number; }
    );

const MIN_INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 900;
const MAX_SIGNAL_DELAY_MS = 1_800;
const MAX_GATEWAYS_AT_ONCE = 4;
const MAX_SETTINGS_MS = 700;
const MAX_SLOW_MS = 4_000;
const MAX_OUTAGE_MS = 4_500;
const MAX_RESTORE_MS = 2_000;
const MAX_COPY_AGE_MS = 6_000;
const MIN_HOST_MS = 100;

const PLANNED_SERIES = ["TERM", "TERM TERM", "HUP", "TERM HUP", "HUP TERM"];
const SERIES = [...PLANNED_SERIES, "KILL", "STOP CONT", "TERM KILL", "TERM STOP CONT", "STOP TERM CONT", "STOP KILL"];
/** A stream without a length that closes in order between two events isn't among them: it can't be told from its end. */
const FAULTS =
    ("closed_between_events closed_within_event stream_without_length reset_stream_without_length without_length "
        + "reset_without_length truncated_body reset_before_response refused_as_not_run refused_after_run misdirected "
        + "status_500 duplicate_response slow_events reset_with_last_bytes").split(" ") as ServerFault[];

const OUTAGES = ["silent", "reset", "unavailable", "too_many_requests"] as const;

/**
 * What a soak plays: planned work alone, faults of servers and signals, faults of hosts and outages of the service, or
 * restores of the service.
 */
export const SOAK_KINDS = ["planned", "faults", "hosts", "restores"] as const;
export type SoakKind = (typeof SOAK_KINDS)[number];

const STEP_KINDS = {
    planned: ["configuration", "signal", "signal", "signal"],
    faults: ["configuration", "signal", "fault", "fault"],
    hosts: ["configuration", "signal", "fault", "settings", "settings", "slow", "kills", "outage"],
    restores: ["configuration", "configuration", "signal", "kills", "outage", "restore", "restore"],
} as const satisfies Record<SoakKind, readonly string[]>;

/** Creates the steps of a soak by time; if planned, they are stops, hangups and changes of the configuration alone. */
export function createPlan(random: RandomSource, gatewayCount: number, durationMs: number, kind: SoakKind): Step[] {
    const steps: Step[] = [];
    for (let atMs = 0; atMs < durationMs; atMs += MIN_INTERVAL_MS + random.index(MAX_INTERVAL_MS - MIN_INTERVAL_MS)) {
        steps.push(...createSteps(random, atMs, gatewayCount, kind));
    }
    return steps.sort((a, b) => a.atMs - b.atMs);
}

function createSteps(random: RandomSource, atMs: number, gatewayCount: number, soakKind: SoakKind): Step[] {
    const kinds = STEP_KINDS[soakKind];
    const kind = kinds[random.index(kinds.length)]!;
    const pickGateway = (): number => random.index(gatewayCount);
    const pickDuration = (maxMs: number): number => MIN_HOST_MS + random.index(maxMs - MIN_HOST_MS);
    switch (kind) {
        case "configuration":
            return [{ atMs, kind, timeoutMs: 8_000 + random.index(4_000) }];
        case "fault":
            return [{ atMs, kind, fault: FAULTS[random.index(FAULTS.length)]! }];
        case "settings":
            return [{ atMs, kind, gateway: pickGateway(), durationMs: pickDuration(MAX_SETTINGS_MS) }];
        case "slow":
            return [{ atMs, kind, gateway: pickGateway(), durationMs: pickDuration(MAX_SLOW_MS) }];
        case "outage": {
            const outage = OUTAGES[random.index(OUTAGES.length)]!;
            return [{ atMs, kind, outage, durationMs: pickDuration(MAX_OUTAGE_MS) }];
        }
        case "restore": {
            const copyAgeMs = random.index(MAX_COPY_AGE_MS);
            return [{ atMs, kind, copyAgeMs, durationMs: pickDuration(MAX_RESTORE_MS) }];
        }
        case "kills":
            return createKills(random, atMs, gatewayCount);
        case "signal":
            return createSignals(random, atMs, gatewayCount, soakKind === "planned" ? PLANNED_SERIES : SERIES);
    }
}

/** Kills more than half of the processes at once. */
function createKills(random: RandomSource, atMs: number, gatewayCount: number): Step[] {
    const first = random.index(gatewayCount);
    const count = Math.floor(gatewayCount / 2) + 1;
    return Array.from({ length: count }, (_, index) => {
        return { atMs, kind: "signal", gateway: (first + index) % gatewayCount, signal: "SIGKILL" };
    });
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
