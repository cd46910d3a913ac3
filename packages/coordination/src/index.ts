export { type ClaimWriterOptions, createClaimWriter } from "./node/claim-writer.ts";
export {
    type CompleteFileOptions,
    FILE_READ_INTERVAL_MS,
    type FileSource,
    LocalFileSource,
    readCompleteFile,
    readFileText,
} from "./node/complete-file.ts";
export { detectReset, isCutBy } from "./node/detect-reset.ts";
export { createDutyLease, type DutyLeaseOptions } from "./node/duty-lease.ts";
export {
    abortResponse,
    closeServer,
    drainServer,
    listen,
    type ListenAddress,
    listenWhenFree,
    type ListenWhenFreeOptions,
} from "./node/http-server.ts";
export {
    createInternalServerOptions,
    guardInternalServer,
    MAX_LATE_BODY_BYTES,
    MAX_REQUEST_MEMORY_BYTES,
} from "./node/internal-server-guard.ts";
export { MAX_WAITING_PER_ADDRESS } from "./node/new-connections.ts";
export { COSTLY_READ_MS, MAX_ADDRESS_SHARE, paceBodies, PacedRequest, processLoopShare } from "./node/paced-request.ts";
export { createPeerClient, type PeerClient, type PeerClientOptions } from "./node/peer-client.ts";
export { DEFAULT_PEER_CONNECTION_LIMITS, type PeerConnectionLimits } from "./node/peer-connections.ts";
export {
    createPeerServer,
    createPeerServerWhenFree,
    isAcceptedSecret,
    type PeerServer,
    type PeerServerOptions,
} from "./node/peer-server.ts";
export { createRecordStore, type RecordStoreOptions } from "./node/record-store.ts";
export {
    createHeadGuardServerOptions,
    DEFAULT_MAX_REQUESTS_AHEAD,
    type RawRefusal,
    RequestHeadGuard,
    type RequestHeadGuardOptions,
    type RequestHeadLimits,
    UNFINISHED_HEAD_SHARE,
} from "./node/request-head-guard.ts";
export { MIN_COSTLY_RESPONSE_PIECES, ResponseFlow } from "./node/response-flow.ts";
export * from "./runtime/body-memory.ts";
export * from "./runtime/head-fault.ts";
export * from "./runtime/log-limiter.ts";
export * from "./runtime/loop-share.ts";
export * from "./runtime/mailbox.ts";
export { createPermitBroker, type PermitBrokerOptions } from "./runtime/permit-broker.ts";
export { createPermitClient, type PermitClientOptions } from "./runtime/permit-client.ts";
export * from "./runtime/quota-lease.ts";
export * from "./runtime/quota-ledger.ts";
export * from "./runtime/rate-reservations.ts";
export * from "./runtime/rate-schedule.ts";
export * from "./runtime/read-debts.ts";
export { RefusedBody, type RefusedBodyOptions, type RefusedRequest } from "./runtime/refused-body.ts";
export * from "./runtime/stated-rates.ts";
export * from "./runtime/use-window.ts";
export * from "./types/claim.ts";
export * from "./types/duty-lease.ts";
export * from "./types/key-value-store.ts";
export * from "./types/logger.ts";
export * from "./types/permits.ts";
export * from "./types/record-store.ts";
export * from "./types/shared-quotas.ts";
export * from "./types/shared-rates.ts";
export * from "./types/versioned-record.ts";
export * from "./utils/byte-collector.ts";
export * from "./utils/clock.ts";
export * from "./utils/event-end-scanner.ts";
export * from "./utils/format-origin.ts";
export { encodeStoredRecord, parseStoredRecord, type StoredRecord } from "./utils/record-codec.ts";
export * from "./utils/rendezvous.ts";
export * from "./utils/sleep.ts";
export * from "./utils/stall-timer.ts";
