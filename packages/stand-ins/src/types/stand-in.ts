import type { Journal } from "../runtime/journal.ts";

/** IP address and TCP port; to listen, port 0 selects a free port. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

/** A running stand-in for a part of the platform. */
export interface StandIn {
    /** Base URL, such as `http://127.0.0.1:2379`. */
    readonly url: string;
    readonly host: string;
    readonly port: number;
    readonly journal: Journal;
    close(): Promise<void>;
}
