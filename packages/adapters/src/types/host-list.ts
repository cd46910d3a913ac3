import type { DataCentre, HostId, ServerId, ServiceId, UnavailableError } from "@skylarkmill/protocol";
import type { ResultAsync } from "neverthrow";

export type HostState = "live" | "leaving" | "gone";

/** One entry of the platform's host list. The list is updated with a delay, so it may be out of date. */
export interface HostEntry {
    readonly hostId: HostId;
    readonly dataCentre: DataCentre;
    readonly role: "router" | "backend";
    readonly state: HostState;
    /** IP address of the host. */
    readonly address: string;
    /** Port of the peer interface (connect-es) of the process on this host. */
    readonly peerPort: number;
    /** Port on which a router receives callers' requests, or an agent receives routers' requests. */
    readonly requestPort: number;
    /** Backend server on this host; present on backend hosts only. */
    readonly serverId?: ServerId;
    /** Service whose requests this backend server executes; present on backend hosts only. */
    readonly serviceId?: ServiceId;
}

/** Reads the platform's host list. */
export interface HostList {
    read(): ResultAsync<readonly HostEntry[], UnavailableError>;
}
