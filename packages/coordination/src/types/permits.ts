import type { AcquirePermitRequest, AcquirePermitResponse, ProcessId } from "@skylarkmill/protocol";

/** Operations whose rate and concurrency are limited across processes. */
export type PermitKind = "model_load" | "adapter_load";

/** Urgency of a permit request; a smaller value has precedence. */
export const URGENCY = { waitingRequest: 0, replica: 1, prefetch: 2 } as const;

export interface PermitLimit {
    readonly kind: PermitKind;
    /** Permits per second over all processes; undefined for no rate limit. */
    readonly ratePerSecond: number | undefined;
    /** Permits held at the same time over all processes. */
    readonly maxInFlight: number;
}

/** Grants permits to all processes; runs in the router that rendezvous hashing selects for a kind. */
export interface PermitBroker {
    /** Grants a permit, or refuses with the time after which to retry. */
    acquire(request: AcquirePermitRequest): Promise<AcquirePermitResponse>;
    release(permitId: string): void;
}

export interface Permit {
    /** `broker`; or `share` for a permit from the static share of this process, or for a kind without a limit. */
    readonly source: "broker" | "share";
    release(): void;
}

export interface AcquireOptions {
    /** One of `URGENCY`. */
    readonly urgency: number;
    readonly signal?: AbortSignal;
}

/** Acquires permits from the broker, or from the static share while the broker is unreachable. */
export interface PermitClient {
    /** Waits for a permit; resolves to undefined when the signal aborts first. */
    acquire(kind: PermitKind, options: AcquireOptions): Promise<Permit | undefined>;
}

/** Remote permit broker, as seen by a permit client. */
export interface PermitBrokerPeer {
    readonly processId: ProcessId;
    acquire(request: AcquirePermitRequest): Promise<AcquirePermitResponse>;
    release(permitId: string): Promise<void>;
}
