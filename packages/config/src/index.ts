export * from "./types/document.ts";
export * from "./types/records.ts";
