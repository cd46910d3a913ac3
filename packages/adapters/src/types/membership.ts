import type { HostId } from "@skylarkmill/protocol";
import type { HostEntry } from "./host-list.ts";

/** View of the hosts as of the last successful read of the platform's host list. */
export interface Membership {
    start(): void;
    stop(): void;
    hosts(): readonly HostEntry[];
    /** Whether the host is listed as `gone`, or has been missing from at least 3 reads over at least 10 s. */
    isGone(hostId: HostId): boolean;
    /** Time since the last successful read in milliseconds; `Infinity` before the first one. */
    ageMs(): number;
    /**
     * Calls the listener after each read that changed the list or made an absent host count as gone.
     * Returns a function that unsubscribes the listener.
     */
    subscribe(listener: () => void): () => void;
}
