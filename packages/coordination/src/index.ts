export * from "./runtime/mailbox.ts";
export * from "./types/key-value-store.ts";
export * from "./types/versioned-record.ts";
export * from "./utils/rendezvous.ts";
