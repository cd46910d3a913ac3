import { KEYS } from "@skylarkmill/config";
import type { RecordVersion } from "@skylarkmill/protocol";
import type { ProcessReport } from "../types/operator.ts";

type SectionVersions = Readonly<Record<string, number>>;

/** Section versions in one process. */
export interface ProcessConfigStatus {
    readonly hostId: string;
    readonly role: string;
    readonly dataCentre: string;
    readonly reachable: boolean;
    /** Why the process could not be reached. */
    readonly reason?: string;
    readonly versions?: SectionVersions;
    /** Time in milliseconds from the write of the newest change until it was in force in the process. */
    readonly lastChangeMs?: number;
    /** Sections whose version in this process is older than the newest known one. */
    readonly behind?: readonly string[];
}

/** Section versions in all processes. */
export interface ConfigStatus {
    readonly newest: SectionVersions;
    /** False if any process is behind or unreachable. */
    readonly inForceEverywhere: boolean;
    readonly processes: readonly ProcessConfigStatus[];
    /** Hosts of the processes that could not be reached. */
    readonly unreachable: readonly string[];
}

function toSectionVersions(versions: readonly RecordVersion[]): SectionVersions {
    const sections = versions.filter(version => version.key.startsWith(KEYS.configPrefix));
    return Object.fromEntries(
        sections.map(version => [version.key.slice(KEYS.configPrefix.length), Number(version.version)]),
    );
}

function findNewestVersions(all: readonly SectionVersions[]): SectionVersions {
    const newest = new Map<string, number>();
    for (const versions of all) {
        for (const [name, version] of Object.entries(versions)) {
            newest.set(name, Math.max(version, newest.get(name) ?? 0));
        }
    }
    return Object.fromEntries(newest);
}

function describeProcess(report: ProcessReport, newest: SectionVersions): ProcessConfigStatus {
    const { hostId, role, dataCentre, reachable, reason, status } = report;
    const processFields = { hostId, role, dataCentre, reachable, ...(reason === undefined ? {} : { reason }) };
    if (status === undefined) return processFields;
    const versions = toSectionVersions(status.versions);
    const behind = Object.keys(newest).filter(name => (versions[name] ?? 0) < newest[name]!);
    return { ...processFields, versions, lastChangeMs: status.lastChangeMs, behind };
}

/**
 * Compares the section versions in all processes with the newest known ones; `ownVersions` are those of this process.
 *
 * @example
 * toConfigStatus(reports, records.versions()).inForceEverywhere;
 */
export function toConfigStatus(reports: readonly ProcessReport[], ownVersions: readonly RecordVersion[]): ConfigStatus {
    const receivedStatuses = reports.flatMap(report => report.status ?? []);
    const newest = findNewestVersions([
        toSectionVersions(ownVersions),
        ...receivedStatuses.map(status => toSectionVersions(status.versions)),
    ]);
    const processes = reports.map(report => describeProcess(report, newest));
    return {
        newest,
        inForceEverywhere: processes.every(process => process.behind?.length === 0),
        processes,
        unreachable: reports.filter(report => !report.reachable).map(report => report.hostId),
    };
}
