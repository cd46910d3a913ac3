import type { HostEntry } from "@skylarkmill/adapters";
import {
    type ConfiguredModel,
    type ConfigView,
    type Grant,
    type GrantRecord,
    KEYS,
    type ReplicaDecision,
} from "@skylarkmill/config";
import type { VersionedRecord } from "@skylarkmill/coordination";
import type { PlacementChange, PlacementModel, PlacementServer } from "@skylarkmill/policy";
import { type GrantId, type HostId, type ModelId, type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import { randomUUID } from "node:crypto";
import type { ResolvedPlacementDutyOptions } from "../types/placement.ts";
import { toPlacementServer } from "../utils/placement-server.ts";

/** A planned change of one grant record. */
export interface GrantPlan {
    readonly modelId: ModelId;
    /** The record from which the plan was made; undefined if there is none yet. */
    readonly record: VersionedRecord<GrantRecord> | undefined;
    /** The new value of the record. */
    readonly value: GrantRecord;
    /** One line per changed grant, for the log and the audit entry. */
    readonly reasons: readonly string[];
    readonly hasAdditions: boolean;
}

type PlannerInput = Pick<
    ResolvedPlacementDutyOptions,
    "records" | "config" | "membership" | "policy" | "serverStatuses" | "demandPerSecond" | "activeTogether"
>;

/** The grants of one model while rules and policy are being applied. */
interface GrantDraft {
    readonly modelId: ModelId;
    readonly record: VersionedRecord<GrantRecord> | undefined;
    readonly model: ConfiguredModel | undefined;
    readonly decided: ReplicaDecision;
    grants: Grant[];
    readonly reasons: string[];
    hasAdditions: boolean;
}

/**
 * Plans the changes of all grant records. Fixed rules are applied before the policy: grants on hosts that are gone are
 * removed. Grants on hosts that are leaving or draining, grants beyond the decided number of replicas, and grants of
 * models that are no longer offered are marked as revoking. A grant is added only while the record holds fewer grants
 * than decided replicas; a grant marked as revoking counts until it is removed.
 *
 * @example
 * const plans = planGrants({ records, config, membership, policy, serverStatuses, demandPerSecond, activeTogether });
 */
export function planGrants(input: PlannerInput): GrantPlan[] {
    // Until the key-value service has been read, or while a section has no valid version, a model that is offered could
    // appear to have been removed.
    if (!input.records.hasReadKeyValueService || !input.config.isComplete()) return [];
    const servers = readServers(input);
    const drafts = createDrafts(input);
    for (const draft of drafts) applyRules(draft, input, servers);
    for (const [serviceId, group] of groupByService(drafts)) applyPolicy(serviceId, group, input, servers);
    return drafts.filter(isChanged).map(({ modelId, record, decided, grants, reasons, hasAdditions }) => ({
        modelId,
        record,
        value: { modelId, grants, decided },
        reasons,
        hasAdditions,
    }));
}

/** Backend servers that accept loads, and the hosts that must not keep grants. */
interface PlannerServers {
    readonly byService: ReadonlyMap<ServiceId, readonly PlacementServer[]>;
    readonly hostByServer: ReadonlyMap<ServerId, HostId>;
    readonly leavingOrDrainingHosts: ReadonlySet<HostId>;
}

function readServers(input: PlannerInput): PlannerServers {
    const hostsToDrain = new Set(
        input.records.list(KEYS.drainsPrefix).filter(record => record.value !== undefined)
            .map(record => record.key.slice(KEYS.drainsPrefix.length)),
    );
    const statuses = input.serverStatuses();
    const byService = new Map<ServiceId, PlacementServer[]>();
    const hostByServer = new Map<ServerId, HostId>();
    const leavingOrDrainingHosts = new Set<HostId>();
    const isLeavingOrDraining = (host: HostEntry) =>
        host.state === "leaving" || hostsToDrain.has(host.hostId)
        || (host.serverId !== undefined && statuses.get(host.serverId)?.draining === true);
    for (const host of input.membership.hosts()) {
        if (host.state === "gone" || host.serverId === undefined || host.serviceId === undefined) continue;
        if (isLeavingOrDraining(host)) leavingOrDrainingHosts.add(host.hostId);
        const status = statuses.get(host.serverId);
        if (status === undefined || !status.acceptsLoads) continue;
        hostByServer.set(host.serverId, host.hostId);
        const servers = byService.get(host.serviceId) ?? [];
        servers.push(toPlacementServer(host, status, leavingOrDrainingHosts.has(host.hostId)));
        byService.set(host.serviceId, servers);
    }
    return { byService, hostByServer, leavingOrDrainingHosts };
}

function createDrafts(input: PlannerInput): GrantDraft[] {
    const records = new Map(
        input.records.list<GrantRecord>(KEYS.grantsPrefix)
            .map(record => [toId<ModelId>(record.key.slice(KEYS.grantsPrefix.length)), record]),
    );
    const modelIds = new Set([...input.config.models().keys(), ...records.keys()]);
    return [...modelIds].flatMap(modelId => {
        const record = records.get(modelId);
        const model = input.config.model(modelId);
        const decided = readDecision(input.config, model);
        if (isConfigOlderThanDecision(input, record?.value?.decided)) return [];
        const grants = [...record?.value?.grants ?? []];
        return [{ modelId, record, model, decided, grants, reasons: [], hasAdditions: false }];
    });
}

/** Returns whether this process has an older version of the section than the one from which the decision was made. */
function isConfigOlderThanDecision(input: PlannerInput, decision: ReplicaDecision | undefined): boolean {
    if (decision === undefined) return false;
    return (input.records.get(KEYS.config(decision.section))?.version ?? 0) < decision.sectionVersion;
}

/** Returns the configured number of replicas and the section that sets it; 0 for a model no longer offered. */
function readDecision(config: ConfigView, model: ConfiguredModel | undefined): ReplicaDecision {
    const service = model === undefined ? undefined : config.service(model.serviceId);
    const section = service === undefined ? undefined : config.section(service.sectionName);
    if (model === undefined || section === undefined) return { replicas: 0, section: "", sectionVersion: 0 };
    return { replicas: model.config.maxReplicas, section: section.name, sectionVersion: section.version };
}

/** Marks a grant as revoking, so that the backend server's agent unloads the model and removes the grant. */
function revokeGrant(draft: GrantDraft, grant: Grant, reason: string): void {
    if (grant.revoking) return;
    draft.grants = draft.grants.map(other => (other.grantId === grant.grantId ? { ...other, revoking: true } : other));
    draft.reasons.push(`${grant.serverId}: ${reason}`);
}

/**
 * Removes the grants on gone hosts. Marks as revoking the grants on leaving or draining hosts and those that the
 * configuration no longer allows.
 */
function applyRules(draft: GrantDraft, input: PlannerInput, servers: PlannerServers): void {
    const gone = draft.grants.filter(grant => input.membership.isGone(grant.hostId));
    draft.grants = draft.grants.filter(grant => !gone.includes(grant));
    for (const grant of gone) draft.reasons.push(`${grant.serverId}: host ${grant.hostId} is gone`);
    for (const grant of draft.grants) {
        if (servers.leavingOrDrainingHosts.has(grant.hostId)) {
            revokeGrant(draft, grant, `host ${grant.hostId} is leaving`);
        }
    }
    const kept = draft.grants.filter(grant => !grant.revoking);
    const reason = draft.model === undefined ? "the model is no longer offered" : "more grants than decided replicas";
    // Agents refuse loads for grants whose position exceeds the decided number, so the last ones are revoked.
    for (const grant of kept.slice(draft.decided.replicas)) revokeGrant(draft, grant, reason);
}

function groupByService(drafts: readonly GrantDraft[]): Map<ServiceId, GrantDraft[]> {
    const groups = new Map<ServiceId, GrantDraft[]>();
    for (const draft of drafts) {
        if (draft.model === undefined) continue;
        const { serviceId } = draft.model;
        groups.set(serviceId, [...groups.get(serviceId) ?? [], draft]);
    }
    return groups;
}

function toPlacementModel(draft: GrantDraft, model: ConfiguredModel, input: PlannerInput): PlacementModel {
    return {
        modelId: draft.modelId,
        serviceId: model.serviceId,
        memoryBytes: model.config.memoryBytes,
        maxReplicas: draft.decided.replicas,
        demandPerSecond: input.demandPerSecond(draft.modelId),
        grants: draft.grants.map(({ serverId, revoking }) => ({ serverId, revoking })),
        activeTogether: input.activeTogether(draft.modelId),
    };
}

/** Applies the changes that the policy proposes for one service. */
function applyPolicy(
    serviceId: ServiceId,
    drafts: readonly GrantDraft[],
    input: PlannerInput,
    servers: PlannerServers,
): void {
    const models = drafts.flatMap(
        draft => (draft.model === undefined ? [] : toPlacementModel(draft, draft.model, input)),
    );
    const byModel = new Map(drafts.map(draft => [draft.modelId, draft]));
    for (const change of input.policy.plan(models, servers.byService.get(serviceId) ?? [])) {
        const draft = byModel.get(change.modelId);
        if (draft !== undefined) applyPolicyChange(draft, change, servers);
    }
}

/** Applies a proposed change unless it breaks a rule; the policy is not trusted to follow the rules. */
function applyPolicyChange(draft: GrantDraft, change: PlacementChange, servers: PlannerServers): void {
    const existing = draft.grants.find(grant => grant.serverId === change.serverId);
    if (change.kind === "revoke") {
        if (existing !== undefined) revokeGrant(draft, existing, change.reason);
        return;
    }
    const hostId = servers.hostByServer.get(change.serverId);
    if (existing !== undefined || hostId === undefined || servers.leavingOrDrainingHosts.has(hostId)) return;
    if (draft.grants.length >= draft.decided.replicas) return;
    const grantId = toId<GrantId>(randomUUID());
    draft.grants.push({ grantId, serverId: change.serverId, hostId, revoking: false });
    draft.reasons.push(`${change.serverId}: ${change.reason}`);
    draft.hasAdditions = true;
}

function isChanged(draft: GrantDraft): boolean {
    const before = draft.record?.value;
    if (draft.reasons.length > 0) return true;
    if (before === undefined) return false;
    return before.decided?.replicas !== draft.decided.replicas || before.decided.section !== draft.decided.section;
}
