import type { Membership } from "@skylarkmill/adapters";
import { type DrainRecord, KEYS } from "@skylarkmill/config";
import type { RecordReader } from "@skylarkmill/coordination";
import type { HostId } from "@skylarkmill/protocol";
import type { Drain } from "../runtime/drain.ts";

export interface DrainCausesOptions {
    readonly hostId: HostId;
    readonly membership: Membership;
    readonly records: RecordReader;
    readonly drain: Drain;
}

/**
 * Drains the agent according to the host list and the drain record of this host.
 * Returns a function that unsubscribes.
 */
export function subscribeDrainCauses(options: DrainCausesOptions): () => void {
    const { hostId, membership, records, drain } = options;
    const readHostList = (): void => {
        const ownHost = membership.hosts().find(host => host.hostId === hostId);
        drain.setCause("host-list", ownHost !== undefined && ownHost.state !== "live");
    };
    const readRecord = (): void => {
        const record = records.get<DrainRecord>(KEYS.drain(hostId));
        if (record === undefined) return;
        // A deleted drain record also ends a drain that a router has requested by a peer call.
        if (record.value === undefined) drain.setCause("peer", false);
        drain.setCause("record", record.value !== undefined);
    };
    readHostList();
    readRecord();
    const unsubscribers = [membership.subscribe(readHostList), records.subscribe(KEYS.drain(hostId), readRecord)];
    return () => unsubscribers.forEach(unsubscribe => unsubscribe());
}
