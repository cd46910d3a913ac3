import { create } from "@bufbuild/protobuf";
import { createPeerServer, type PeerServer } from "@skylarkmill/coordination";
import {
    AcquirePermitResponseSchema,
    ExchangeResponseSchema,
    LoadedModelSchema,
    ProcessStatusSchema,
    PushResponseSchema,
    ReleasePermitResponseSchema,
    ServerStatusSchema,
} from "@skylarkmill/protocol";

/** Starts a server with the peer interface, used for many routers and agents; every exchange finds equal records. */
export async function createFakePeer(peerKey: string, modelIds: readonly string[]): Promise<PeerServer> {
    const models = modelIds.slice(0, 3).map(modelId =>
        create(LoadedModelSchema, { modelId, modelVersion: "1", state: "ready", locality: "memory" })
    );
    const status = create(ServerStatusSchema, {
        slotCount: 16,
        memorySizeBytes: 80_000_000_000n,
        models,
        acceptsLoads: true,
    });
    const server = await createPeerServer({
        host: "127.0.0.1",
        port: 0,
        keys: () => [peerKey],
        handlers: {
            exchange: () => create(ExchangeResponseSchema, { same: true }),
            push: () => create(PushResponseSchema, { applied: 0 }),
            probe: () => status,
            getStatus: () => create(ProcessStatusSchema, { ready: true }),
            acquirePermit: () => create(AcquirePermitResponseSchema, { granted: true, permitId: "p", expiresMs: 1000 }),
            releasePermit: () => create(ReleasePermitResponseSchema, {}),
        },
    });
    return server._unsafeUnwrap();
}
