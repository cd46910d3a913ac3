import {
    COSTLY_READ_MS,
    DEFAULT_MAX_REQUESTS_AHEAD,
    DEFAULT_MAX_SHARE,
    MAX_LATE_BODY_BYTES,
    MAX_REQUEST_MEMORY_BYTES,
    UNFINISHED_HEAD_SHARE,
} from "@skylarkmill/coordination";
import { MAX_SMALL_BODY_BYTES, MEMORY_SHARES } from "@skylarkmill/gateway";

/** A limit on what callers send or leave unread that no setting changes. */
export interface FixedLimit {
    readonly meaning: string;
    /** Part of the product that it holds for. */
    readonly part: string;
    readonly value: string;
}

const MIB = 1024 * 1024;
const SMALL_BODY_KIB = MAX_SMALL_BODY_BYTES / 1024;
const ALL_PORTS = "gateway, router, agent: HTTP ports";
const INTERNAL_PORTS = "ports for own processes, operators and probes";

function toPercent(share: number): string {
    return `${100 * share} %`;
}

function ofMemory(share: number): string {
    return `${toPercent(share)} of the process's memory`;
}

/** The limits that have no setting; docs/design/uncontrolled-callers.md says what happens past each. */
export const FIXED_LIMITS: readonly FixedLimit[] = [
    {
        meaning: "Requests that a caller sends ahead of their responses on one connection.",
        part: ALL_PORTS,
        value: String(DEFAULT_MAX_REQUESTS_AHEAD),
    },
    {
        meaning: "Memory of all requests without complete responses, without their bodies.",
        part: "gateway: callers' port",
        value: ofMemory(MEMORY_SHARES.requests),
    },
    {
        meaning: "Memory of all requests without complete responses, without their bodies.",
        part: INTERNAL_PORTS,
        value: `${MAX_REQUEST_MEMORY_BYTES / MIB} MiB`,
    },
    {
        meaning: "Memory of unfinished heads of many lines, besides.",
        part: ALL_PORTS,
        value: `${toPercent(UNFINISHED_HEAD_SHARE)} of the memory of requests`,
    },
    {
        meaning: `Bodies of up to ${SMALL_BODY_KIB} KiB of requests without complete responses.`,
        part: "gateway: callers' port",
        value: ofMemory(MEMORY_SHARES.smallBodies),
    },
    {
        meaning: `Bodies over ${SMALL_BODY_KIB} KiB, buffered and unread responses.`,
        part: "gateway: callers' port",
        value: ofMemory(MEMORY_SHARES.buffered),
    },
    {
        meaning: "Bodies of other gateways' messages, small and large ones each.",
        part: "gateway: peer port",
        value: ofMemory(MEMORY_SHARES.peerBodies),
    },
    {
        meaning: "Bytes of a body that are read after its response.",
        part: INTERNAL_PORTS,
        value: `${MAX_LATE_BODY_BYTES / MIB} MiB`,
    },
    {
        meaning: "Time of one read of a body after which its connection waits for its turn.",
        part: ALL_PORTS,
        value: `${COSTLY_READ_MS} ms`,
    },
    {
        meaning: "Part of the event loop's time for such reads together.",
        part: ALL_PORTS,
        value: toPercent(DEFAULT_MAX_SHARE),
    },
];
