export * from "./runtime/mailbox.ts";
export * from "./types/claim.ts";
export * from "./types/duty-lease.ts";
export * from "./types/key-value-store.ts";
export * from "./types/permits.ts";
export * from "./types/record-store.ts";
export * from "./types/versioned-record.ts";
export * from "./utils/rendezvous.ts";
