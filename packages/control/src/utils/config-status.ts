import { KEYS } from "@skylarkmill/config";
import type { RecordVersion } from "@skylarkmill/protocol";
import type { ProcessReport } from "../types/operator.ts";

type SectionVersions = Readonly<Record<string, number>>;

export interface ProcessConfigStatus {
    readonly hostId: string;
    readonly role: string;
    readonly dataCentre: string;
    readonly reachable: boolean;
    readonly reason?: string;
    readonly versions?: SectionVersions;
    /** Time from the write of the newest change to its application in the process. */
    readonly lastChangeMs?: number;
    /** Sections of which the process has an older version in force than another process. */
    readonly behind?: readonly string[];
}

export interface ConfigStatus {
    readonly newest: SectionVersions;
    readonly inForceEverywhere: boolean;
    readonly processes: readonly ProcessConfigStatus[];
    readonly unreachable: readonly string[];
}

function sectionVersions(versions: readonly RecordVersion[]): SectionVersions {
    const sections = versions.filter(version => version.key.startsWith(KEYS.configPrefix));
    return Object.fromEntries(
        sections.map(version => [version.key.slice(KEYS.configPrefix.length), Number(version.version)]),
    );
}

function newestOf(all: readonly SectionVersions[]): SectionVersions {
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
    const known = { hostId, role, dataCentre, reachable, ...(reason === undefined ? {} : { reason }) };
    if (status === undefined) return known;
    const versions = sectionVersions(status.versions);
    const behind = Object.keys(newest).filter(name => (versions[name] ?? 0) < newest[name]!);
    return { ...known, versions, lastChangeMs: status.lastChangeMs, behind };
}

/**
 * Compares the versions in force in all processes with the newest known.
 *
 * @example
 * toConfigStatus(reports, records.versions()).inForceEverywhere;
 */
export function toConfigStatus(reports: readonly ProcessReport[], own: readonly RecordVersion[]): ConfigStatus {
    const answered = reports.flatMap(report => report.status ?? []);
    const newest = newestOf([sectionVersions(own), ...answered.map(status => sectionVersions(status.versions))]);
    const processes = reports.map(report => describeProcess(report, newest));
    return {
        newest,
        inForceEverywhere: processes.every(process => process.behind?.length === 0),
        processes,
        unreachable: reports.filter(report => !report.reachable).map(report => report.hostId),
    };
}
