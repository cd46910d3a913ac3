import type { Cluster } from "../../support/cluster.ts";

/** Processes that ended by themselves, with their last lines; a signal leaves no exit code of their own. */
export function crashedProcesses(cluster: Cluster): readonly string[] {
    return [...cluster.processes]
        .filter(([, spawned]) => spawned.exitCode !== undefined && spawned.exitCode > 0)
        .map(([name, spawned]) => `${name}: ${spawned.lines.slice(-15).join("\n")}`);
}
