import type { AcquirePermitRequest, AcquirePermitResponse, ProcessId } from "@skylarkmill/protocol";

/** Kinds of shared soft limits. */
export type PermitKind = "model_load" | "adapter_load";

/** Smaller goes first. */
export const URGENCY = { waitingRequest: 0, replica: 1, prefetch: 2 } as const;

export interface PermitLimit {
    readonly kind: PermitKind;
    /** Permits per second over all holders; undefined for no rate. */
    readonly ratePerSecond: number | undefined;
    readonly maxInFlight: number;
}

/** Serves one soft limit for all processes; runs in the router that rendezvous hashing names. */
export interface PermitBroker {
    acquire(request: AcquirePermitRequest): Promise<AcquirePermitResponse>;
    release(permitId: string): void;
}

export interface Permit {
    /** `broker` or, when the broker did not answer in time, `share`. */
    readonly source: "broker" | "share";
    release(): void;
}

export interface AcquireOptions {
    readonly urgency: number;
    readonly signal?: AbortSignal;
}

/** Takes permits from the broker, or from the static share while the broker is out of reach. */
export interface PermitClient {
    acquire(kind: PermitKind, options: AcquireOptions): Promise<Permit | undefined>;
}

/** A broker that a permit client can call. */
export interface PermitBrokerPeer {
    readonly processId: ProcessId;
    acquire(request: AcquirePermitRequest): Promise<AcquirePermitResponse>;
    release(permitId: string): Promise<void>;
}
