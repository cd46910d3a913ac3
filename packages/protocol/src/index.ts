export * from "./gen/skylarkmill/peer/v1/peer_pb.ts";
export * from "./types/errors.ts";
export * from "./types/headers.ts";
export * from "./types/ids.ts";
export * from "./types/refusal.ts";
export * from "./utils/hop-by-hop-headers.ts";
export * from "./utils/refusal-body.ts";
export * from "./utils/retry-after.ts";
