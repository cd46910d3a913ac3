import { createBackendClient, createTritonEngineControl } from "@skylarkmill/adapters";
import { type ServerId, type ServiceId, toId } from "@skylarkmill/protocol";
import { createProcessContext, runRole } from "../node/process-context.ts";
import { agentSettings } from "../settings/commands.ts";
import type { ParsedArguments } from "../types/setting.ts";
import { runWithSettings } from "../utils/with-settings.ts";

/** Runs an agent until a signal; resolves with the exit code. */
export function runAgent(args: ParsedArguments): Promise<number> {
    return runWithSettings("agent", agentSettings, args, async values => {
        const context = createProcessContext("agent", values);
        const { backendUrl: baseUrl, maxConnections } = values;
        const engineControl = values.backendKind === "model" ? createTritonEngineControl({ baseUrl }) : undefined;
        const { createAgent } = await import("@skylarkmill/agent");
        const agent = createAgent({
            ...context.commonOptions,
            serverId: toId<ServerId>(values.serverId),
            serviceId: toId<ServiceId>(values.serviceId),
            requestListen: values.requestListen,
            engineControl,
            backend: createBackendClient({ baseUrl, maxConnections }),
        });
        return runRole(context, agent);
    });
}
