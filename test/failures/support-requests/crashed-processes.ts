import type { Cluster } from "../../support/cluster.ts";

/** Processes that exited with an error, with their last output lines; those ended by a signal are not included. */
export function crashedProcesses(cluster: Cluster): readonly string[] {
    return [...cluster.processes]
        .filter(([, spawned]) => spawned.exitCode !== undefined && spawned.exitCode > 0)
        .map(([name, spawned]) => `${name}: ${spawned.lines.slice(-15).join("\n")}`);
}
