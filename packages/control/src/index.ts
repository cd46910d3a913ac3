export * from "./cli/command-options.ts";
export { type ConfigApplyOptions, runConfigApply } from "./cli/config-apply.ts";
export {
    type AuditOptions,
    type ConfigGetOptions,
    type DrainOptions,
    runAudit,
    runConfigGet,
    runConfigStatus,
    runDrain,
    runStatus,
} from "./cli/inspect-commands.ts";
export { type CommandIo, runOperatorCommand } from "./cli/run-operator-command.ts";
export { createOperatorApp, MAX_BUFFERED_BODY_BYTES } from "./node/operator-app.ts";
export { createOperatorPeers, type OperatorPeersOptions } from "./node/operator-peers.ts";
export { createPlacementDuty } from "./node/placement-duty.ts";
export * from "./types/operator.ts";
export * from "./types/placement.ts";
