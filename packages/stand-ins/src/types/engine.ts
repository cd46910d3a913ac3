import type { WeightStoreStandIn } from "../runtime/weight-store.ts";
import type { SocketAddress } from "./stand-in.ts";

/** Nearest storage of a model's checkpoint. */
export type CheckpointLocality = "memory" | "disk" | "remote";

export interface EngineStandInOptions {
    readonly listen: SocketAddress;
    /** @default "engine" */
    readonly name?: string;
    /** @default 3,000,000,000 */
    readonly memorySizeBytes?: number;
    /** Maximum number of concurrent requests. @default 8 */
    readonly slotCount?: number;
    /** Decoding speed of each running request. @default 200 */
    readonly tokensPerSecond?: number;
    /** Time to the first token of a prompt without a cached prefix. @default 10 */
    readonly prefillMs?: number;
    /** Duration of a load by the locality of the checkpoint. @default { memory: 100, disk: 400, remote: 1000 } */
    readonly loadMs?: Readonly<Record<CheckpointLocality, number>>;
    /** @default 20 */
    readonly unloadMs?: number;
    /** Whether orders with an outdated fencing token are refused. @default false */
    readonly checksFencing?: boolean;
    /** Models whose checkpoint is on disk at the start. @default [] */
    readonly cachedModelIds?: readonly string[];
    /** Shared by the engines of one process; remote loads and adapter loads run through it. */
    readonly weightStore?: WeightStoreStandIn;
    /** Time for which a stream without a reader continues and can be resumed. @default 250 */
    readonly resumeGraceMs?: number;
}

export type ResolvedEngineOptions = Required<EngineStandInOptions>;

/** A validated request. */
export interface EngineRequest {
    /** Value of `X-Request-Id`. */
    readonly requestId: string;
    readonly kind: "chat" | "completion";
    /** Loaded model that executes the request. */
    readonly modelId: string;
    /** Model name in the request's body: a model, an adapter or `<model>:<adapter>`. */
    readonly requestedModelName: string;
    readonly isStreamed: boolean;
    readonly tokenCount: number;
    /** Requests with lower values get a slot first. */
    readonly priority: number;
    readonly prompt: string;
    readonly lastMessage: string;
}
