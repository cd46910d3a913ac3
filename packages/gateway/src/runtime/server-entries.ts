import type { KeyValueEntry, Logger } from "@skylarkmill/coordination";
import type { ServerId } from "@skylarkmill/protocol";
import type { ServerRecord } from "../types/engine.ts";
import type { RecordDecoder } from "../types/snapshot.ts";
import type { ServerDirectory } from "./server-directory.ts";

/** Heartbeats without a renewal after which an entry expires. */
const EXPIRY_HEARTBEATS = 3;
/** Time for the service to remove an expired entry, and for the watch to tell. */
const EXPIRY_MARGIN_MS = 1_000;
/** Up to one of the heartbeats after which an entry expires passes before an outage. */
export const MIN_EXPIRY_HEARTBEATS = EXPIRY_HEARTBEATS - 1;

export interface ServerEntriesOptions {
    readonly directory: ServerDirectory;
    readonly recordDecoder: Pick<RecordDecoder, "serverPrefix" | "decodeServer">;
    readonly serverHeartbeatMs: number;
    readonly logger: Logger;
}

/** Applies the servers' entries in the key-value service to the directory, also across outages and restores. */
export class ServerEntries {
    /** Timers that remove or add a server unless its entry is written or deleted before, by key. */
    private readonly timers = new Map<string, NodeJS.Timeout>();

    constructor(private readonly options: ServerEntriesOptions) {}

    put({ key, value }: KeyValueEntry, isRestored: boolean): void {
        const { recordDecoder, directory, logger } = this.options;
        this.cancelTimer(key);
        const record = recordDecoder.decodeServer(key, value);
        if (record !== undefined && isRestored && directory.wasRemoved(record)) return this.defer(key, record);
        if (record !== undefined) return directory.upsert(record);
        logger.warn({ step: "server.decode", key }, "server entry is invalid");
        directory.remove(this.parseServerId(key), "invalid entry");
    }

    /** @param graceMs Time within which the entry may be written again after an outage. */
    delete(key: string, graceMs: number): void {
        const { directory, logger } = this.options;
        const serverId = this.parseServerId(key);
        // A server whose entry a restore brought back isn't known.
        if (graceMs === 0 || directory.get(serverId) === undefined) {
            this.cancelTimer(key);
            return directory.remove(serverId, "entry removed");
        }
        if (this.timers.has(key)) return;
        logger.info(
            { step: "server.grace", server: serverId, graceMs: Math.round(graceMs) },
            "server entry removed; it may be written again after an outage",
        );
        const timer = setTimeout(() => {
            this.timers.delete(key);
            directory.remove(serverId, "entry not written again after an outage");
        }, graceMs);
        this.timers.set(key, timer);
    }

    /** Waits whether the entry of a server that had left expires again, as that of a server that is gone does. */
    private defer(key: string, record: ServerRecord): void {
        const waitMs = EXPIRY_HEARTBEATS * this.options.serverHeartbeatMs + EXPIRY_MARGIN_MS;
        this.options.logger.info(
            { step: "server.defer", server: record.serverId, waitMs },
            "a restore brought back the entry of a removed server; it may be gone",
        );
        this.timers.set(
            key,
            setTimeout(() => {
                this.timers.delete(key);
                this.options.directory.upsert(record);
            }, waitMs),
        );
    }

    private cancelTimer(key: string): void {
        clearTimeout(this.timers.get(key));
        this.timers.delete(key);
    }

    private parseServerId(key: string): ServerId {
        return key.slice(this.options.recordDecoder.serverPrefix.length) as ServerId;
    }
}
