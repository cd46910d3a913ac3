import type { HostEntry } from "@skylarkmill/adapters";
import type { ProcessReport, ResolvedOperatorOptions } from "../types/operator.ts";
import { mapConcurrent } from "../utils/map-concurrent.ts";

/** Reads the status of every process in the host list. */
export class FleetReader {
    constructor(private readonly options: ResolvedOperatorOptions) {}

    /** Returns one report per host that is not gone; a failed call yields a report with the reason. */
    read(): Promise<ProcessReport[]> {
        const hosts = this.options.membership.hosts().filter(host => host.state !== "gone");
        return mapConcurrent(hosts, this.options.maxConcurrentCalls, host => this.readHost(host));
    }

    private async readHost(host: HostEntry): Promise<ProcessReport> {
        const { hostId, dataCentre, role, state } = host;
        const hostFields = { hostId, dataCentre, role, state };
        try {
            const signal = AbortSignal.timeout(this.options.peerTimeoutMs);
            const status = await rejectOnAbort(this.options.peers.getStatus(host, signal), signal);
            return { ...hostFields, reachable: true, status };
        }
        catch (error) {
            return { ...hostFields, reachable: false, reason: error instanceof Error ? error.message : String(error) };
        }
    }
}

/** Rejects when the signal aborts, even if the call ignores its signal. */
function rejectOnAbort<T>(call: Promise<T>, signal: AbortSignal): Promise<T> {
    return new Promise((resolve, reject) => {
        signal.addEventListener("abort", () => reject(new Error("no answer in time")), { once: true });
        call.then(resolve, reject);
    });
}
