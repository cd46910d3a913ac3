// The operator's configuration of a small deployment, in the form of PROTOCOL.md.
export const HOST = "workshop.example";

export const LIMITS = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

export function createConfig(models, more = {}) {
    return {
        version: 1,
        routes: [
            {
                name: "r-diagnosis",
                host: HOST,
                prefix: "/diagnosis/",
                type: "streaming",
                timeout_ms: 12_000,
                target_latency_ms: 400,
                priority: 0,
                service: "workshop-assistant",
                max_attempts: 2,
                session_affinity: true,
                resumable: true,
                gap_aim_ms: 200,
            },
            {
                name: "r-order",
                host: HOST,
                prefix: "/order/",
                type: "non_idempotent",
                timeout_ms: 1_500,
                target_latency_ms: 386,
                priority: 2,
                service: "parts-ledger",
                max_attempts: 1,
            },
            {
                name: "r-stock",
                host: HOST,
                prefix: "/stock/",
                type: "idempotent",
                timeout_ms: 1_500,
                target_latency_ms: 386,
                priority: 2,
                service: "parts-ledger",
                max_attempts: 2,
            },
        ],
        services: [
            {
                name: "workshop-assistant",
                health_path: "/health",
                max_connections: 250,
                protocol: "h1",
                tls: false,
                engine: {
                    slots: 32,
                    kv_capacity_tokens: 84_739,
                    models,
                    mb: 230_000,
                    max_adapters: 8,
                    loads_per_s: 3.6,
                },
            },
            { name: "parts-ledger", health_path: "/health", max_connections: 110, protocol: "h1", tls: false },
        ],
        limits: LIMITS,
        ...more,
    };
}
