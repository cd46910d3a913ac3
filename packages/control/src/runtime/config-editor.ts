import {
    type AuditEntry,
    checkDocument,
    type ConfigSection,
    createAuditPut,
    diffSections,
    KEYS,
    parseSection,
} from "@skylarkmill/config";
import type { KeyValueError, VersionedRecord } from "@skylarkmill/coordination";
import {
    ConflictError,
    type EditId,
    OutcomeUnknownError,
    type SectionName,
    type TeamId,
    toId,
} from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import type { OperatorResponse, ResolvedOperatorOptions, SectionChange } from "../types/operator.ts";
import { createErrorResponse, createUnavailableResponse } from "../utils/operator-responses.ts";
import type { AuditLog } from "./audit-log.ts";

/** A request to create or replace a section. */
export interface SectionEdit {
    readonly team: TeamId;
    readonly section: SectionName;
    readonly editId: EditId;
    /** Version on which the edit is based; 0 for a new section. */
    readonly ifMatch: number;
    /** The new content, not yet validated. */
    readonly input: unknown;
}

/** A request for the outcome of an earlier edit. */
export interface OutcomeQuery extends Pick<SectionEdit, "team" | "section" | "editId"> {
    /** Version on which the edit was based; undefined when it is not known. */
    readonly ifMatch: number | undefined;
}

const ERROR_CONTEXT = { step: "config.outcome", peer: "key-value-service" };
/** Maximum number of attempts to void an edit while other edits change the section. */
const MAX_VOID_ATTEMPTS = 3;

type SectionRecord = VersionedRecord<ConfigSection>;
type CheckResult<T> = Result<T, OperatorResponse>;

/** Applies edits of sections and determines whether an earlier edit took effect. */
export class ConfigEditor {
    constructor(private readonly options: ResolvedOperatorOptions, private readonly audit: AuditLog) {}

    /** Validates and writes an edit. Repeating an edit id returns the outcome of the first request. */
    async applyEdit(edit: SectionEdit): Promise<OperatorResponse> {
        const refreshed = await this.options.records.refresh();
        if (refreshed.isErr()) return this.respondWriteNotAttempted(edit, refreshed.error);
        const earlier = await this.findEarlierOutcome(edit);
        if (earlier !== undefined) return earlier;
        const checked = this.checkOwner(edit).andThen(() => this.checkContent(edit));
        if (checked.isErr()) return checked.error;
        if ((this.findRecord(edit.section)?.version ?? 0) !== edit.ifMatch) return this.respondStale(edit);
        return this.writeSection(edit, checked.value);
    }

    /**
     * Determines whether an edit took effect. An edit that did not is voided first: the section gets a new version
     * with the same content, so that a request for the edit that is still in transit fails as stale.
     */
    async resolveOutcome(query: OutcomeQuery): Promise<OperatorResponse> {
        for (let attempt = 1; attempt <= MAX_VOID_ATTEMPTS; attempt += 1) {
            const known = await this.findOutcome(query);
            if (known !== undefined) return known;
            const voided = await this.voidEdit(query);
            if (voided.isOk()) return createNotAcceptedResponse(query);
            if (!(voided.error instanceof ConflictError)) return this.respondUnknown(query, voided.error);
        }
        return this.respondUnknown(
            query,
            new ConflictError("The section is being edited; ask again.", ERROR_CONTEXT),
        );
    }

    private async findOutcome(query: OutcomeQuery): Promise<OperatorResponse | undefined> {
        const { section, editId, team, ifMatch } = query;
        const { records } = this.options;
        const refreshed = await records.refresh();
        if (refreshed.isErr()) return this.respondUnknown(query, refreshed.error);
        const record = this.findRecord(section);
        if (record?.editId === editId) return createAcceptedResponse(section, editId, record.version, true);
        const entries = await this.audit.readEntries(section);
        if (entries.isErr()) return this.respondUnknown(query, entries.error);
        const entry = entries.value.find(candidate => candidate.editId === editId);
        if (entry !== undefined) return createAcceptedResponse(section, editId, entry.versionAfter, false);
        if (entries.value.some(other => other.editId === toVoidId(editId))) return createNotAcceptedResponse(query);
        if (record?.value !== undefined && record.value.team !== team) {
            return createNotOwnerResponse(section, record.value.team);
        }
        // The section's record also stores the ids of its latest edits, so the edit can be found even if a restore of
        // older data has removed its audit entry.
        const resolved = await records.resolveEdit(KEYS.config(section), editId);
        if (resolved.isErr()) return this.respondUnknown(query, resolved.error);
        if (resolved.value === "accepted") return { status: 200, body: { section, editId, outcome: "accepted" } };
        const isSuperseded = ifMatch !== undefined && (record?.version ?? 0) > ifMatch;
        return isSuperseded ? createNotAcceptedResponse(query) : undefined;
    }

    /** Writes a new version with unchanged content, so that the edit can no longer take effect. */
    private voidEdit({ section, editId, team }: OutcomeQuery) {
        const record = this.findRecord(section);
        const edit = { section, team, editId: toVoidId(editId) };
        const entry = createAuditEntry(edit, record?.version ?? 0, [`edit ${editId} was declared not accepted`]);
        const extraPuts = [createAuditPut(entry)];
        return this.options.records.write<ConfigSection>({
            key: KEYS.config(section),
            expectedVersion: record?.version ?? 0,
            value: record?.value,
            editId: edit.editId,
            extraPuts,
        }).andTee(({ version }) => this.audit.retainAndPrune("config", section, version, extraPuts));
    }

    private findRecord(section: SectionName): SectionRecord | undefined {
        return this.options.records.get<ConfigSection>(KEYS.config(section));
    }

    /** Returns the response to an earlier request with the same edit id, if one took effect. */
    private async findEarlierOutcome(edit: SectionEdit): Promise<OperatorResponse | undefined> {
        const record = this.findRecord(edit.section);
        if (record === undefined) return undefined;
        if (record.editId === edit.editId) return this.respondRepeated(edit, record);
        if (record.version <= edit.ifMatch) return undefined;
        const entry = await this.audit.readEntry(edit.section, edit.ifMatch + 1);
        if (entry.isErr()) return this.respondWriteNotAttempted(edit, entry.error);
        if (entry.value?.editId !== edit.editId) return undefined;
        return createAcceptedResponse(edit.section, edit.editId, entry.value.versionAfter, false);
    }

    private respondRepeated(edit: SectionEdit, record: SectionRecord): OperatorResponse {
        const parsed = parseSection(edit.input);
        if (parsed.isOk() && diffSections(record.value, parsed.value).length === 0) {
            return createAcceptedResponse(edit.section, edit.editId, record.version, true);
        }
        const message = `Edit id ${edit.editId} was accepted with other content as version ${record.version}.`;
        return createErrorResponse(409, "edit_id_reused", message, {
            section: edit.section,
            editId: edit.editId,
            currentVersion: record.version,
        });
    }

    private checkOwner(edit: SectionEdit): CheckResult<void> {
        const owner = this.findRecord(edit.section)?.value?.team;
        return owner === undefined || owner === edit.team ? ok() : err(createNotOwnerResponse(edit.section, owner));
    }

    private checkContent(edit: SectionEdit): CheckResult<ConfigSection> {
        const sections = new Map(this.options.config.sections().map(({ name, section }) => [name, section]));
        const checked = parseSection(edit.input).andThen(section => {
            sections.set(edit.section, section);
            return checkDocument(sections).map(() => section);
        });
        if (checked.isErr()) {
            return err(createErrorResponse(400, "invalid_config", "The section is not valid.", {
                faults: checked.error.faults,
                outcome: "not_accepted",
            }));
        }
        if (checked.value.team === edit.team) return ok(checked.value);
        const message = `The section must name the caller's own team, ${edit.team}, not ${checked.value.team}.`;
        return err(createErrorResponse(403, "not_own_team", message, { outcome: "not_accepted" }));
    }

    private async writeSection(edit: SectionEdit, section: ConfigSection): Promise<OperatorResponse> {
        const { records, logger } = this.options;
        const key = KEYS.config(edit.section);
        const record = this.findRecord(edit.section);
        const changes = diffSections(record?.value, section);
        const extraPuts = [createAuditPut(createAuditEntry(edit, record?.version ?? 0, changes))];
        const written = await records.write<ConfigSection>({
            key,
            expectedVersion: edit.ifMatch,
            value: section,
            editId: edit.editId,
            extraPuts,
        });
        if (written.isOk()) {
            const { version } = written.value;
            logger.info(
                { step: "config.edit", section: edit.section, version, who: edit.team },
                "configuration section changed",
            );
            void this.audit.retainAndPrune("config", edit.section, version, extraPuts);
            return createAcceptedResponse(edit.section, edit.editId, version, true, changes);
        }
        if (written.error instanceof ConflictError) return this.respondStale(edit);
        if (written.error instanceof OutcomeUnknownError) return this.respondUnknown(edit, written.error);
        return this.respondWriteFailed(edit);
    }

    /**
     * Responds to an attempted write that had no effect. The outcome of the edit is still resolved, since another
     * request with the same edit id may have taken effect or may do so later.
     */
    private async respondWriteFailed(edit: SectionEdit): Promise<OperatorResponse> {
        const response = await this.resolveOutcome(edit);
        const { outcome } = response.body as { readonly outcome?: string; };
        if (outcome !== "not_accepted") return response;
        const message = "The write did not take effect. Read the section again before the next edit.";
        return createErrorResponse(503, "write_failed", message, {
            outcome,
            section: edit.section,
            editId: edit.editId,
        });
    }

    /** Refuses an edit of an outdated version and lists the changes made since that version. */
    private async respondStale(edit: SectionEdit): Promise<OperatorResponse> {
        const record = this.findRecord(edit.section);
        const currentVersion = record?.version ?? 0;
        const entries = await this.audit.readEntries(edit.section);
        const submitted = parseSection(edit.input).unwrapOr(undefined);
        const message = `Section ${edit.section} is at version ${currentVersion}, not at ${edit.ifMatch}.`;
        return createErrorResponse(409, "stale_version", message, {
            outcome: "not_accepted",
            section: edit.section,
            editId: edit.editId,
            currentVersion,
            changedMeanwhile: listChangesSince(entries, edit.ifMatch),
            ...(submitted === undefined ? {} : { differenceToCurrent: diffSections(record?.value, submitted) }),
        });
    }

    /**
     * Responds to a request that failed before its write was attempted. An earlier request with the same edit id may
     * have taken effect.
     */
    private respondWriteNotAttempted(edit: SectionEdit, error: KeyValueError | ConflictError): OperatorResponse {
        return createUnavailableResponse(error, { ...createUnknownDetails(edit), thisAttempt: "not_written" });
    }

    private respondUnknown(edit: OutcomeQuery, error: KeyValueError | ConflictError): OperatorResponse {
        return createUnavailableResponse(error, createUnknownDetails(edit));
    }
}

function createUnknownDetails({ section, editId, ifMatch }: OutcomeQuery) {
    const version = ifMatch === undefined ? "" : `&version=${ifMatch}`;
    const askAgain = `GET /operator/config/edits/${editId}?section=${section}${version}`;
    return { outcome: "unknown" as const, section, editId, askAgain };
}

function toVoidId(editId: EditId): EditId {
    return toId<EditId>(`void:${editId}`);
}

type EditIdentity = Pick<SectionEdit, "section" | "team" | "editId">;

function createAuditEntry(edit: EditIdentity, versionBefore: number, changes: readonly string[]): AuditEntry {
    return {
        atMs: Date.now(),
        who: edit.team,
        section: edit.section,
        versionBefore,
        versionAfter: versionBefore + 1,
        editId: edit.editId,
        changes,
    };
}

/** Returns the changes after a version; undefined when the audit trail could not be read. */
function listChangesSince(
    entries: Result<readonly AuditEntry[], KeyValueError>,
    version: number,
): readonly SectionChange[] | undefined {
    if (entries.isErr()) return undefined;
    return entries.value
        .filter(entry => entry.versionAfter > version)
        .map(({ versionAfter, who, atMs, changes }) => ({ version: versionAfter, who, atMs, changes }));
}

function createAcceptedResponse(
    section: SectionName,
    editId: EditId,
    version: number,
    inForce: boolean,
    changes?: readonly string[],
): OperatorResponse {
    return {
        status: 200,
        body: { outcome: "accepted", section, editId, version, inForce, ...(changes === undefined ? {} : { changes }) },
        headers: { etag: `"${version}"` },
    };
}

function createNotAcceptedResponse({ section, editId }: OutcomeQuery): OperatorResponse {
    return { status: 200, body: { section, editId, outcome: "not_accepted" } };
}

function createNotOwnerResponse(section: SectionName, owner: TeamId): OperatorResponse {
    return createErrorResponse(403, "not_owner", `Section ${section} belongs to team ${owner}.`, {
        outcome: "not_accepted",
    });
}
