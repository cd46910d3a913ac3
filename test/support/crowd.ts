import { readdirSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { expect } from "vitest";
import { eventually } from "./eventually.ts";
import type { SpawnedProcess } from "./spawned-process.ts";

/** What one client of a crowd sends on each of its connections, and whether it reads. */
export interface CrowdTraffic {
    /** Whether the client reads what comes; it never does by default. */
    readonly readsResponses?: boolean;
    /** Whether the client closes its connection once all is sent, and opens the next one; by default it stays open. */
    readonly closesWhenSent?: boolean;
    /** Sent once, at the start of the connection. */
    readonly start?: Buffer;
    /** Sent again and again after that, whenever the connection takes more; nothing by default. */
    readonly rest?: Buffer;
    /** Time from the start of the connection after which the client reads; by default it never does. */
    readonly readAfterMs?: number;
}

interface CrowdOptions {
    /** @default "127.0.0.1" */
    readonly host?: string;
    readonly port: number;
    readonly clientCount: number;
    readonly durationMs: number;
    readonly traffic: CrowdTraffic;
    /** Largest number of connections that each client opens one after the other. */
    readonly maxConnections: number;
    /** Largest number of bytes that each client sends on one connection. */
    readonly maxBytes: number;
}

/** Pause of a client before it opens its next connection. */
const RECONNECT_DELAY_MS = 20;

/** Runs clients for a bounded time; resolves when all their connections are closed. */
async function runCrowd(options: CrowdOptions): Promise<void> {
    const { host = "127.0.0.1", port, clientCount, durationMs, traffic, maxConnections, maxBytes } = options;
    const sockets = new Set<Socket>();
    const timers = new Set<NodeJS.Timeout>();
    let isOver = false;
    const open = (connectionCount: number): void => {
        if (isOver || connectionCount >= maxConnections) return;
        const socket = connect(port, host);
        sockets.add(socket);
        if (traffic.readsResponses === true) socket.resume();
        else socket.pause();
        if (traffic.readAfterMs !== undefined) timers.add(setTimeout(() => socket.resume(), traffic.readAfterMs));
        let byteCount = 0;
        const send = (chunk: Buffer | undefined): void => {
            if (chunk === undefined || byteCount >= maxBytes || socket.destroyed) return;
            byteCount += chunk.length;
            if (socket.write(chunk)) timers.add(setTimeout(() => send(traffic.rest), 1));
            else socket.once("drain", () => send(traffic.rest));
        };
        socket.once("connect", () => {
            if (traffic.closesWhenSent === true) socket.end(traffic.start ?? "", () => socket.destroy());
            else send(traffic.start ?? traffic.rest);
        });
        // Its connection may be refused or reset at any time.
        socket.on("error", () => undefined);
        socket.once("close", () => {
            sockets.delete(socket);
            timers.add(setTimeout(() => open(connectionCount + 1), RECONNECT_DELAY_MS));
        });
    };
    for (let index = 0; index < clientCount; index += 1) open(0);
    await new Promise(resolve => setTimeout(resolve, durationMs));
    isOver = true;
    for (const timer of timers) clearTimeout(timer);
    for (const socket of sockets) socket.destroy();
}

/** Flags of Node.js for a process that a crowd calls. */
export const CROWDED_NODE_FLAGS: readonly string[] = ["--max-old-space-size=100", "--max-semi-space-size=2"];
/** Descriptors that a process beside a crowd stays below. */
export const MAX_CROWDED_DESCRIPTORS = 1_000;
const CLIENT_COUNT = 30;
const CROWD_MS = 4_000;
const MAX_CONNECTIONS = 40;
const MAX_BYTES = 8 * 1024 * 1024;
const SAMPLE_INTERVAL_MS = 20;
/** Time until an ordinary request must be answered after a crowd. */
const RECOVERY_TIMEOUT_MS = 15_000;

export interface CrowdOutcome {
    readonly isRunning: boolean;
    readonly largestMb: number;
    readonly largestDescriptorCount: number;
    /** Whether an ordinary request was answered afterwards. */
    readonly isAnswered: boolean;
}

/**
 * Sends a crowd to a process and measures it meanwhile.
 *
 * @param isServed Sends an ordinary request and returns whether it was answered.
 */
export async function playCrowd(
    spawned: SpawnedProcess,
    target: Pick<CrowdOptions, "host" | "port" | "traffic"> & { readonly clientCount?: number | undefined; },
    isServed: () => Promise<boolean>,
): Promise<CrowdOutcome> {
    let largestBytes = 0;
    let largestDescriptorCount = 0;
    const timer = setInterval(() => {
        if (!spawned.isRunning) return;
        largestBytes = Math.max(largestBytes, spawned.readMemoryBytes() || 0);
        largestDescriptorCount = Math.max(largestDescriptorCount, readdirSync(`/proc/${spawned.pid}/fd`).length);
    }, SAMPLE_INTERVAL_MS);
    const bounds = { clientCount: target.clientCount ?? CLIENT_COUNT, durationMs: CROWD_MS };
    await runCrowd({ ...target, ...bounds, maxConnections: MAX_CONNECTIONS, maxBytes: MAX_BYTES });
    const answered = eventually(
        "an ordinary request is answered",
        async () => await isServed() || undefined,
        RECOVERY_TIMEOUT_MS,
    );
    const isAnswered = await answered.catch(() => false);
    clearInterval(timer);
    const largestMb = Math.round(largestBytes / 1_000_000);
    return { isRunning: spawned.isRunning, largestMb, largestDescriptorCount, isAnswered };
}

/** Expects a process to have lived through a crowd within its memory and descriptors, and to answer afterwards. */
export function expectSurvival(outcome: CrowdOutcome, maxMb: number): void {
    expect.soft(outcome.isRunning, JSON.stringify(outcome)).toBe(true);
    expect.soft(outcome.largestMb).toBeLessThan(maxMb);
    expect.soft(outcome.largestDescriptorCount).toBeLessThan(MAX_CROWDED_DESCRIPTORS);
    expect.soft(outcome.isAnswered).toBe(true);
}
