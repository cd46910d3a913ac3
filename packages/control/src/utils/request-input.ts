import { KEYS, parseName } from "@skylarkmill/config";
import { type EditId, type HostId, type SectionName, toId } from "@skylarkmill/protocol";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { AuditQuery } from "../runtime/audit-log.ts";
import type { OperatorAnswer } from "../types/operator.ts";
import { refuse } from "./operator-answers.ts";

type Input<T> = Result<T, OperatorAnswer>;

/** Names that the operators' interface uses below `/operator/config/`. */
const RESERVED_SECTIONS = new Set(["status", "edits"]);
const DEFAULT_AUDIT_LIMIT = 100;
const MAX_AUDIT_LIMIT = 1_000;

function badRequest(code: string, message: string): OperatorAnswer {
    return refuse(400, code, message, { outcome: "not_accepted" });
}

/** Reads the name of a section from a path or query. */
export function readSectionName(text: string | undefined): Input<SectionName> {
    if (text !== undefined && RESERVED_SECTIONS.has(text)) {
        return err(badRequest("reserved_section", `A section can't be named ${text}.`));
    }
    return parseName(text ?? "", "section").map(name => toId<SectionName>(name))
        .mapErr(error => badRequest("invalid_section", error.message));
}

/** Reads a host id; host ids are the platform's, so only characters of a path segment count. */
export function readHostId(text: string): Input<HostId> {
    if (/^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/.test(text)) return ok(toId<HostId>(text));
    return err(badRequest("invalid_host", `${JSON.stringify(text)} is not a host id.`));
}

/** Reads the id by which an editor asks for the outcome. */
export function readEditId(text: string | undefined): Input<EditId> {
    if (text !== undefined && /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/.test(text)) return ok(toId<EditId>(text));
    return err(badRequest("invalid_edit_id", "X-Edit-Id must be 1 to 100 characters of A-Z, a-z, 0-9, '.', '_', '-'."));
}

/** Reads the version that an editor has seen, `3` or `"3"`; 0 stands for a new section. */
export function readIfMatch(text: string | undefined): Input<number> {
    if (text === undefined) {
        const message = "If-Match must name the version that was read; 0 for a new section.";
        return err(refuse(428, "if_match_required", message, { outcome: "not_accepted" }));
    }
    const digits = /^"?(\d{1,10})"?$/.exec(text)?.[1];
    if (digits !== undefined) return ok(Number(digits));
    return err(badRequest("invalid_if_match", `If-Match ${JSON.stringify(text)} is not a version.`));
}

const auditQuerySchema = z.object({
    section: z.string().max(300).regex(/^[a-z0-9][A-Za-z0-9._:-]*\*?$/).optional(),
    team: z.string().max(128).optional(),
    fromMs: z.coerce.number().min(0).default(0),
    toMs: z.coerce.number().min(0).default(Number.MAX_SAFE_INTEGER),
    limit: z.coerce.number().int().min(1).max(MAX_AUDIT_LIMIT).default(DEFAULT_AUDIT_LIMIT),
});

/** Reads an audit query; without a section it covers all known sections. */
export function readAuditQuery(
    query: Readonly<Record<string, string>>,
    configKeys: readonly string[],
): Input<AuditQuery> {
    const parsed = auditQuerySchema.safeParse(query);
    if (!parsed.success) {
        const faults = parsed.error.issues.map(issue => ({ path: issue.path.join("."), message: issue.message }));
        return err(refuse(400, "invalid_query", "The audit query is not valid.", { faults }));
    }
    const { section, team, fromMs, toMs, limit } = parsed.data;
    const sections = section === undefined ? configKeys.map(key => key.slice(KEYS.configPrefix.length)) : [section];
    return ok({ sections, team, fromMs, toMs, limit });
}
