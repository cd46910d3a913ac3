import type { Membership } from "@skylarkmill/adapters";
import type { KeyValueStore } from "@skylarkmill/coordination";
import type { DataCentre, HostId, ProcessId, SkylarkmillError } from "@skylarkmill/protocol";
import type Logger from "bunyan";
import type { ResultAsync } from "neverthrow";
import type { Address } from "../settings/schemas.ts";

/** Options that routers and agents share. */
export interface CommonRoleOptions {
    readonly processId: ProcessId;
    readonly hostId: HostId;
    readonly dataCentre: DataCentre;
    readonly peerListen: Address;
    readonly peerKeys: () => readonly string[];
    readonly store: KeyValueStore;
    readonly membership: Membership;
    readonly logger: Logger;
}

/** A router or an agent; `Ports` are the ports on which it listens after the start. */
export interface Role<Ports> {
    start(): ResultAsync<Ports, SkylarkmillError>;
    stop(): Promise<void>;
}
