import type { WeightStoreStandIn } from "../runtime/weight-store.ts";
import type { ListenAddress } from "./stand-in.ts";

export type CheckpointPlace = "memory" | "disk" | "remote";

export interface EngineStandInOptions {
    readonly listen: ListenAddress;
    /** @default "engine" */
    readonly name?: string;
    /** @default 3,000,000,000 */
    readonly memorySizeBytes?: number;
    /** Requests that run at the same time. @default 8 */
    readonly slotCount?: number;
    /** Tokens per second of each running request. @default 200 */
    readonly tokensPerSecond?: number;
    /** Time until the first token of an uncached prompt. @default 10 */
    readonly prefillMs?: number;
    /** Duration of a load by the place of the checkpoint. @default { memory: 100, disk: 400, remote: 1000 } */
    readonly loadMs?: Readonly<Record<CheckpointPlace, number>>;
    /** @default 20 */
    readonly unloadMs?: number;
    /** Orders with an old fencing token are refused. @default false */
    readonly checksFencing?: boolean;
    /** Models whose checkpoint lies on disk at the start. @default [] */
    readonly cachedModelIds?: readonly string[];
    /** Shared by the engines of one process; remote loads and adapter loads run through it. */
    readonly weightStore?: WeightStoreStandIn;
    /** Time for which a broken stream goes on and can be resumed. @default 250 */
    readonly resumeGraceMs?: number;
}

export type ResolvedEngineOptions = Required<EngineStandInOptions>;

/** One request as the engine runs it. */
export interface EngineRequest {
    /** Value of `X-Request-Id`. */
    readonly requestId: string;
    readonly kind: "chat" | "completion";
    readonly modelId: string;
    readonly model: string;
    readonly stream: boolean;
    readonly tokenCount: number;
    /** Lower values take a slot first. */
    readonly priority: number;
    readonly prompt: string;
    readonly lastMessage: string;
}
