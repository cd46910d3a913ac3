import { DEFAULT_AGENT_LIMITS } from "@skylarkmill/agent";
import { MAX_BUFFERED_BODY_BYTES } from "@skylarkmill/control";
import {
    COSTLY_READ_MS,
    DEFAULT_MAX_REQUESTS_AHEAD,
    DEFAULT_MAX_SHARE,
    DEFAULT_PEER_CONNECTION_LIMITS,
    MAX_ADDRESS_SHARE,
    MAX_LATE_BODY_BYTES,
    MAX_REQUEST_MEMORY_BYTES,
    MAX_WAITING_PER_ADDRESS,
    MIN_COSTLY_RESPONSE_PIECES,
    UNFINISHED_HEAD_SHARE,
} from "@skylarkmill/coordination";
import { MAX_ROOM_WAITERS, MAX_SMALL_BODY_BYTES, MEMORY_SHARES } from "@skylarkmill/gateway";
import { DEFAULT_ROUTER_LIMITS } from "@skylarkmill/router";

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
const PEER_PORTS = "router, agent: ports for own processes";
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
        meaning: "Responses that wait until that memory has room for them.",
        part: "gateway: callers' port",
        value: String(MAX_ROOM_WAITERS),
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
        meaning: "Pieces that one read of a server's response brings, beyond which the same holds for its connection.",
        part: "gateway, agent: backend servers",
        value: String(MIN_COSTLY_RESPONSE_PIECES),
    },
    {
        meaning: "Part of the event loop's time for such reads together.",
        part: ALL_PORTS,
        value: toPercent(DEFAULT_MAX_SHARE),
    },
    {
        meaning: "Part of the event loop's time that reads from one address take before its new connections wait.",
        part: ALL_PORTS,
        value: toPercent(MAX_ADDRESS_SHARE),
    },
    {
        meaning: "New connections that wait from one such address; further ones are closed.",
        part: ALL_PORTS,
        value: String(MAX_WAITING_PER_ADDRESS),
    },
    {
        meaning: "Bodies of all requests until their responses have ended.",
        part: "router: callers' port",
        value: `${DEFAULT_ROUTER_LIMITS.maxBufferedBodyBytes / MIB} MiB`,
    },
    {
        meaning: "Bodies of all requests until their responses have ended.",
        part: "agent: requests' port",
        value: `${DEFAULT_AGENT_LIMITS.maxBufferedBodyBytes / MIB} MiB`,
    },
    {
        meaning: "Bodies of all requests that are being read.",
        part: "router: operators' port",
        value: `${MAX_BUFFERED_BODY_BYTES / MIB} MiB`,
    },
    {
        meaning: "Time within which a connection brings a call with an accepted key.",
        part: PEER_PORTS,
        value: `${DEFAULT_PEER_CONNECTION_LIMITS.acceptTimeoutMs} ms`,
    },
    {
        meaning: "Connections without such a call; the oldest is closed beyond that.",
        part: PEER_PORTS,
        value: String(DEFAULT_PEER_CONNECTION_LIMITS.maxUnacceptedCount),
    },
    {
        meaning: "Calls without an accepted key on one connection before it is closed at once.",
        part: PEER_PORTS,
        value: String(DEFAULT_PEER_CONNECTION_LIMITS.maxRefusedCalls),
    },
];
