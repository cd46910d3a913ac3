declare const idBrand: unique symbol;

/** A branded string, assignable only to ids of the same kind. */
export type Id<Kind extends string> = string & { readonly [idBrand]: Kind; };

export type ModelId = Id<"model">;
export type AdapterId = Id<"adapter">;
export type ServiceId = Id<"service">;
export type ServerId = Id<"server">;
export type HostId = Id<"host">;
export type ProcessId = Id<"process">;
/** A part of a prompt that requests share, such as the instructions of a route. */
export type PromptPartId = Id<"prompt-part">;
export type DataCentre = Id<"data-centre">;
export type RequestId = Id<"request">;
export type AttemptId = Id<"attempt">;
export type GrantId = Id<"grant">;
export type EditId = Id<"edit">;
export type PermitId = Id<"permit">;
/** A part of a deployment whose callers have keys and a quota of their own. */
export type WorkspaceId = Id<"workspace">;
/** Digest of an access key, which differs in each process. */
export type KeyDigest = Id<"key-digest">;
export type TeamId = Id<"team">;
export type SectionName = Id<"section">;

/**
 * Converts a string to an id of one kind, without validation.
 *
 * @example
 * const modelId = toId<ModelId>("bench-diagnosis-01");
 */
export function toId<T extends Id<string>>(text: string): T {
    return text as T;
}
