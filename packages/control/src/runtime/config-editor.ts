import {
    type AuditEntry,
    auditPut,
    checkDocument,
    type ConfigSection,
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
import type { ChangeSince, OperatorAnswer, ResolvedOperatorOptions } from "../types/operator.ts";
import { refuse, unavailable } from "../utils/operator-answers.ts";
import type { AuditLog } from "./audit-log.ts";

export interface SectionEdit {
    readonly team: TeamId;
    readonly section: SectionName;
    readonly editId: EditId;
    /** Version that the editor has seen; 0 for a new section. */
    readonly ifMatch: number;
    readonly input: unknown;
}

/** `ifMatch` is the version that the edit named, where known. */
export interface OutcomeQuestion extends Pick<SectionEdit, "team" | "section" | "editId"> {
    readonly ifMatch: number | undefined;
}

const CONTEXT = { step: "config.outcome", peer: "key-value-service" };
/** Attempts when other editors write at the same moment. */
const MAX_VOID_ATTEMPTS = 3;

type SectionRecord = VersionedRecord<ConfigSection>;
type Checked<T> = Result<T, OperatorAnswer>;

/** Carries out edits of sections and says which took effect. */
export class ConfigEditor {
    constructor(private readonly options: ResolvedOperatorOptions, private readonly audit: AuditLog) {}

    /** Checks and writes one edit; a repeated edit id gets the first outcome. */
    async edit(edit: SectionEdit): Promise<OperatorAnswer> {
        const refreshed = await this.options.records.refresh();
        if (refreshed.isErr()) return this.notWritten(edit, refreshed.error);
        const earlier = await this.findEarlierOutcome(edit);
        if (earlier !== undefined) return earlier;
        const checked = this.checkOwner(edit).andThen(() => this.checkContent(edit));
        if (checked.isErr()) return checked.error;
        if ((this.record(edit.section)?.version ?? 0) !== edit.ifMatch) return this.stale(edit);
        return this.write(edit, checked.value);
    }

    /**
     * Says whether an edit took effect. One that did not is voided first: the section gets a new version
     * with the same content, so that a request which is still on its way meets a stale version.
     */
    async outcome(question: OutcomeQuestion): Promise<OperatorAnswer> {
        for (let attempt = 1; attempt <= MAX_VOID_ATTEMPTS; attempt += 1) {
            const known = await this.findOutcome(question);
            if (known !== undefined) return known;
            const voided = await this.voidEdit(question);
            if (voided.isOk()) return notAccepted(question);
            if (!(voided.error instanceof ConflictError)) return this.unknown(question, voided.error);
        }
        return this.unknown(question, new ConflictError("The section is being edited; ask again.", CONTEXT));
    }

    private async findOutcome(question: OutcomeQuestion): Promise<OperatorAnswer | undefined> {
        const { section, editId, team, ifMatch } = question;
        const { records } = this.options;
        const refreshed = await records.refresh();
        if (refreshed.isErr()) return this.unknown(question, refreshed.error);
        const record = this.record(section);
        if (record?.editId === editId) return accepted(section, editId, record.version, true);
        const entries = await this.audit.read(section);
        if (entries.isErr()) return this.unknown(question, entries.error);
        const entry = entries.value.find(candidate => candidate.editId === editId);
        if (entry !== undefined) return accepted(section, editId, entry.versionAfter, false);
        if (entries.value.some(candidate => candidate.editId === voidId(editId))) return notAccepted(question);
        if (record?.value !== undefined && record.value.team !== team) return notOwner(section, record.value.team);
        // The record remembers its last edit ids even when the audit trail went back to an older state.
        const resolved = await records.resolveEdit(KEYS.config(section), editId);
        if (resolved.isErr()) return this.unknown(question, resolved.error);
        if (resolved.value === "accepted") return { status: 200, body: { section, editId, outcome: "accepted" } };
        const isSuperseded = ifMatch !== undefined && (record?.version ?? 0) > ifMatch;
        return isSuperseded ? notAccepted(question) : undefined;
    }

    private voidEdit({ section, editId, team }: OutcomeQuestion) {
        const record = this.record(section);
        const edit = { section, team, editId: voidId(editId) };
        const entry = createEntry(edit, record?.version ?? 0, [`edit ${editId} was declared not accepted`]);
        const extraPuts = [auditPut(entry)];
        return this.options.records.write<ConfigSection>({
            key: KEYS.config(section),
            expectedVersion: record?.version ?? 0,
            value: record?.value,
            editId: edit.editId,
            extraPuts,
        }).andTee(({ version }) => this.audit.written("config", section, version, extraPuts));
    }

    private record(section: SectionName): SectionRecord | undefined {
        return this.options.records.get<ConfigSection>(KEYS.config(section));
    }

    private async findEarlierOutcome(edit: SectionEdit): Promise<OperatorAnswer | undefined> {
        const record = this.record(edit.section);
        if (record === undefined) return undefined;
        if (record.editId === edit.editId) return this.repeat(edit, record);
        if (record.version <= edit.ifMatch) return undefined;
        const entry = await this.audit.entryOf(edit.section, edit.ifMatch + 1);
        if (entry.isErr()) return this.notWritten(edit, entry.error);
        if (entry.value?.editId !== edit.editId) return undefined;
        return accepted(edit.section, edit.editId, entry.value.versionAfter, false);
    }

    private repeat(edit: SectionEdit, record: SectionRecord): OperatorAnswer {
        const parsed = parseSection(edit.input);
        if (parsed.isOk() && diffSections(record.value, parsed.value).length === 0) {
            return accepted(edit.section, edit.editId, record.version, true);
        }
        const message = `Edit id ${edit.editId} was accepted with other content as version ${record.version}.`;
        return refuse(409, "edit_id_reused", message, {
            section: edit.section,
            editId: edit.editId,
            currentVersion: record.version,
        });
    }

    private checkOwner(edit: SectionEdit): Checked<void> {
        const owner = this.record(edit.section)?.value?.team;
        return owner === undefined || owner === edit.team ? ok() : err(notOwner(edit.section, owner));
    }

    private checkContent(edit: SectionEdit): Checked<ConfigSection> {
        const sections = new Map(this.options.config.sections().map(({ name, section }) => [name, section]));
        const checked = parseSection(edit.input).andThen(section => {
            sections.set(edit.section, section);
            return checkDocument(sections).map(() => section);
        });
        if (checked.isErr()) {
            return err(refuse(400, "invalid_config", "The section is not valid.", {
                faults: checked.error.faults,
                outcome: "not_accepted",
            }));
        }
        if (checked.value.team === edit.team) return ok(checked.value);
        const message = `The section must name the caller's own team, ${edit.team}, not ${checked.value.team}.`;
        return err(refuse(403, "not_own_team", message, { outcome: "not_accepted" }));
    }

    private async write(edit: SectionEdit, section: ConfigSection): Promise<OperatorAnswer> {
        const { records, logger } = this.options;
        const key = KEYS.config(edit.section);
        const record = this.record(edit.section);
        const changes = diffSections(record?.value, section);
        const extraPuts = [auditPut(createEntry(edit, record?.version ?? 0, changes))];
        const written = await records.write<ConfigSection>({
            key,
            expectedVersion: edit.ifMatch,
            value: section,
            editId: edit.editId,
            extraPuts,
        });
        if (written.isOk()) {
            const { version } = written.value;
            logger.info({ step: "config.edit", section: edit.section, version, who: edit.team }, "section changed");
            void this.audit.written("config", edit.section, version, extraPuts);
            return accepted(edit.section, edit.editId, version, true, changes);
        }
        if (written.error instanceof ConflictError) return this.stale(edit);
        if (written.error instanceof OutcomeUnknownError) return this.unknown(edit, written.error);
        return this.failed(edit);
    }

    /** This write had no effect; an earlier request with the same edit id may have had one, or have it later. */
    private async failed(edit: SectionEdit): Promise<OperatorAnswer> {
        const answer = await this.outcome(edit);
        const { outcome } = answer.body as { readonly outcome?: string; };
        if (outcome !== "not_accepted") return answer;
        const message = "The write did not take effect. Read the section again before the next edit.";
        return refuse(503, "write_failed", message, { outcome, section: edit.section, editId: edit.editId });
    }

    /** Tells an editor which changes came in between. */
    private async stale(edit: SectionEdit): Promise<OperatorAnswer> {
        const record = this.record(edit.section);
        const currentVersion = record?.version ?? 0;
        const entries = await this.audit.read(edit.section);
        const submitted = parseSection(edit.input).unwrapOr(undefined);
        const message = `Section ${edit.section} is at version ${currentVersion}, not at ${edit.ifMatch}.`;
        return refuse(409, "stale_version", message, {
            outcome: "not_accepted",
            section: edit.section,
            editId: edit.editId,
            currentVersion,
            changedMeanwhile: changesSince(entries, edit.ifMatch),
            ...(submitted === undefined ? {} : { differenceToCurrent: diffSections(record?.value, submitted) }),
        });
    }

    /** This attempt wrote nothing; an earlier one under the same edit id may have. */
    private notWritten(edit: SectionEdit, error: KeyValueError | ConflictError): OperatorAnswer {
        return unavailable(error, { ...unknownDetails(edit), thisAttempt: "not_written" });
    }

    private unknown(edit: OutcomeQuestion, error: KeyValueError | ConflictError): OperatorAnswer {
        return unavailable(error, unknownDetails(edit));
    }
}

function unknownDetails({ section, editId, ifMatch }: OutcomeQuestion) {
    const version = ifMatch === undefined ? "" : `&version=${ifMatch}`;
    const askAgain = `GET /operator/config/edits/${editId}?section=${section}${version}`;
    return { outcome: "unknown" as const, section, editId, askAgain };
}

function voidId(editId: EditId): EditId {
    return toId<EditId>(`void:${editId}`);
}

type Edit = Pick<SectionEdit, "section" | "team" | "editId">;

function createEntry(edit: Edit, versionBefore: number, changes: readonly string[]): AuditEntry {
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

/** `undefined` when the audit trail can't be read now. */
function changesSince(
    entries: Result<readonly AuditEntry[], KeyValueError>,
    version: number,
): readonly ChangeSince[] | undefined {
    if (entries.isErr()) return undefined;
    return entries.value
        .filter(entry => entry.versionAfter > version)
        .map(({ versionAfter, who, atMs, changes }) => ({ version: versionAfter, who, atMs, changes }));
}

function accepted(
    section: SectionName,
    editId: EditId,
    version: number,
    inForce: boolean,
    changes?: readonly string[],
): OperatorAnswer {
    return {
        status: 200,
        body: { outcome: "accepted", section, editId, version, inForce, ...(changes === undefined ? {} : { changes }) },
        headers: { etag: `"${version}"` },
    };
}

function notAccepted({ section, editId }: OutcomeQuestion): OperatorAnswer {
    return { status: 200, body: { section, editId, outcome: "not_accepted" } };
}

function notOwner(section: SectionName, owner: TeamId): OperatorAnswer {
    return refuse(403, "not_owner", `Section ${section} belongs to team ${owner}.`, { outcome: "not_accepted" });
}
