import type { HostEntry, HostState, Membership } from "@skylarkmill/adapters";
import { type ConfigView, createConfigView, KEYS, RECORD_PREFIX } from "@skylarkmill/config";
import { createRecordStore, type RecordStore } from "@skylarkmill/coordination";
import {
    type DataCentre,
    type EditId,
    type HostId,
    type ProcessId,
    type ServerId,
    type ServiceId,
    toId,
} from "@skylarkmill/protocol";
import type { FakeKeyValueStore } from "./fake-key-value-store.ts";

const RECORD_PREFIXES = ["config/", "grants/", "drains/"].map(name => `${RECORD_PREFIX}${name}`);

/** Creates the record store and configuration view of one process. The test refreshes the records itself. */
export function createRecords(
    store: FakeKeyValueStore,
    processId: string,
): { readonly records: RecordStore; readonly config: ConfigView; } {
    const records = createRecordStore({
        processId: toId<ProcessId>(processId),
        store,
        prefixes: RECORD_PREFIXES,
        peers: () => [],
    });
    return { records, config: createConfigView(records) };
}

let editCount = 0;

/** Writes a section directly to the records, without the operators' interface. */
export async function putSection(records: RecordStore, name: string, section: unknown): Promise<void> {
    const key = KEYS.config(name);
    editCount += 1;
    const expectedVersion = records.get(key)?.version ?? 0;
    const editId = toId<EditId>(`fixture-${editCount}`);
    (await records.write({ key, expectedVersion, value: section, editId }))._unsafeUnwrap();
}

export function createBackendHost(name: string, state: HostState = "live", serviceId = "assistant"): HostEntry {
    return {
        hostId: toId<HostId>(`host-${name}`),
        dataCentre: toId<DataCentre>("dc-1"),
        role: "backend",
        state,
        address: "127.0.0.1",
        peerPort: 1,
        requestPort: 2,
        serverId: toId<ServerId>(`server-${name}`),
        serviceId: toId<ServiceId>(serviceId),
    };
}

/** In-memory host list that the test changes directly. */
export class FakeMembership implements Membership {
    entries: HostEntry[] = [];
    readonly gone = new Set<string>();

    start(): void {
        // Nothing to poll.
    }

    stop(): void {
        // Nothing to poll.
    }

    hosts(): readonly HostEntry[] {
        return this.entries.filter(host => !this.gone.has(host.hostId));
    }

    isGone(hostId: HostId): boolean {
        return this.gone.has(hostId);
    }

    ageMs(): number {
        return 0;
    }

    subscribe(): () => void {
        return () => undefined;
    }
}
