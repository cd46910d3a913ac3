import type { KeyDigest, WorkspaceId } from "@skylarkmill/protocol";
import type { Route, Workspace } from "../types/configuration.ts";

/**
 * Who a request belongs to.
 *
 * - `open`: the deployment has no workspaces.
 * - `workspace`: the key is one of the workspace's.
 * - `public`: the request has no known key, and its route needs none.
 * - `unknown`: the request has no key, or one that no workspace has.
 */
export type Identity =
    | { readonly kind: "workspace"; readonly workspace: Workspace; }
    | { readonly kind: "open" | "public" | "unknown"; };

/** Finds the workspace of a request by its key, in the configuration in force. */
export class WorkspaceDirectory {
    private byDigest: ReadonlyMap<KeyDigest, Workspace> | undefined;
    private largestRatePerSecond = 1;
    private byId: ReadonlyMap<WorkspaceId, Workspace> = new Map();

    /** Applies the workspaces of a configuration; undefined if it has none. */
    apply(workspaces: readonly Workspace[] | undefined): void {
        this.byId = new Map(workspaces?.map(workspace => [workspace.workspaceId, workspace]));
        const rates = workspaces?.map(({ quota }) => quota?.ratePerSecond ?? 0) ?? [];
        this.largestRatePerSecond = rates.reduce((largest, rate) => Math.max(largest, rate), 1);
        this.byDigest = workspaces === undefined ? undefined : new Map(
            workspaces.flatMap(workspace => workspace.keyDigests.map(digest => [digest, workspace] as const)),
        );
    }

    /** Whether callers need keys, except on public routes. */
    get hasWorkspaces(): boolean {
        return this.byDigest !== undefined;
    }

    /**
     * Part of a workspace of what servers can do when their room is short, relative to the others: its quota, or the
     * largest one of all if it has none.
     */
    weightOf(workspaceId: WorkspaceId | undefined): number {
        const quota = workspaceId === undefined ? undefined : this.byId.get(workspaceId)?.quota;
        return quota?.ratePerSecond ?? this.largestRatePerSecond;
    }

    get(workspaceId: WorkspaceId): Workspace | undefined {
        return this.byId.get(workspaceId);
    }

    /**
     * Identifies the owner of a request.
     *
     * @example
     * directory.identify({ isPublic: false }, digestKey("k7b2ex5wa5xw")); // { kind: "workspace", workspace }
     */
    identify({ isPublic }: Pick<Route, "isPublic">, keyDigest: KeyDigest | undefined): Identity {
        if (this.byDigest === undefined) return { kind: "open" };
        const workspace = keyDigest === undefined ? undefined : this.byDigest.get(keyDigest);
        if (workspace !== undefined) return { kind: "workspace", workspace };
        return { kind: isPublic ? "public" : "unknown" };
    }
}
