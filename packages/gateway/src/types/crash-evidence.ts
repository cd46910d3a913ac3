import type { PromptPartId } from "@skylarkmill/protocol";

/** Engines that ended while they had an unanswered request with a part of a prompt, as exchanged between gateways. */
export interface CrashEvidence {
    readonly part: PromptPartId;
    /** Evidence of a lower generation is void, since an answer began with the part afterwards. */
    readonly generation: number;
    readonly ends: readonly {
        /** Id and start time of the engine, which ends once for each start. */
        readonly engine: string;
        readonly ageMs: number;
    }[];
}
