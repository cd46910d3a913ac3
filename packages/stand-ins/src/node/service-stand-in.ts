import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { Journal } from "../runtime/journal.ts";
import type { SocketAddress, StandIn } from "../types/stand-in.ts";
import {
    createStandInApp,
    dropConnection,
    holdConnectionOpen,
    readJsonBody,
    type StandInContext,
    startHttpServer,
} from "./http-server.ts";

const faultsSchema = z.object({
    /** Additional delay of each response. */
    delayMs: z.number().min(0).max(600_000).optional(),
    /** Number of upcoming requests that are executed and whose connection then closes without a response. */
    loseAnswers: z.number().int().min(0).optional(),
    /** Number of upcoming requests that are executed and get no response on an open connection. */
    hangAnswers: z.number().int().min(0).optional(),
    /** Number of upcoming requests that fail with status 500. */
    fail: z.number().int().min(0).optional(),
    /** Factor on the duration of each request. */
    slowFactor: z.number().min(0.01).max(10_000).optional(),
});

export type ServiceFaults = Required<z.output<typeof faultsSchema>>;

export interface ServiceStandInOptions {
    readonly listen: SocketAddress;
    /** @default "service" */
    readonly name?: string;
    /** Duration of one request. @default 5 */
    readonly workMs?: number;
}

export interface ServiceStandIn extends StandIn {
    setFaults(faults: Partial<ServiceFaults>): void;
}

/**
 * Starts a stand-in for one server of a parts ledger with `GET /stock/<part>` and `POST /orders`. Each execution of the
 * latter creates another order. Tests inject faults with `PUT /control/faults`.
 *
 * @example
 * const ledger = await createServiceStandIn({ listen: { host: "127.0.0.1", port: 0 }, name: "ledger-1" });
 */
export async function createServiceStandIn(options: ServiceStandInOptions): Promise<ServiceStandIn> {
    const name = options.name ?? "service";
    const workMs = options.workMs ?? 5;
    const journal = new Journal(name);
    const app = createStandInApp(journal);
    const faults: ServiceFaults = { delayMs: 0, loseAnswers: 0, hangAnswers: 0, fail: 0, slowFactor: 1 };
    let orderCount = 0;

    function setFaults(change: Partial<ServiceFaults>): void {
        Object.assign(faults, change);
        journal.add("faults", { ...change });
    }

    function consumeFault(fault: "loseAnswers" | "hangAnswers" | "fail"): boolean {
        if (faults[fault] === 0) return false;
        faults[fault]--;
        return true;
    }

    async function execute(context: StandInContext, run: () => object, status: 200 | 201): Promise<Response> {
        const fields = {
            method: context.req.method,
            path: context.req.path,
            requestId: context.req.header("x-request-id"),
            idempotencyKey: context.req.header("idempotency-key"),
        };
        journal.add("execution_started", fields);
        const hasFailed = consumeFault("fail");
        const body = hasFailed ? { error: "ledger unavailable" } : run();
        await sleep(workMs * faults.slowFactor + faults.delayMs);
        journal.add("execution_finished", { ...fields, ...body });
        if (consumeFault("loseAnswers")) return dropConnection(context);
        if (consumeFault("hangAnswers")) return holdConnectionOpen(context);
        return context.json(body, hasFailed ? 500 : status);
    }

    app.put("/control/faults", async context => {
        const request = await readJsonBody(context, faultsSchema);
        if ("response" in request) return request.response;
        setFaults(request.value);
        return context.json(faults);
    });
    app.get("/stock/:part", context => {
        const part = context.req.param("part");
        return execute(context, () => ({ part, in_stock: part.length * 3, server: name }), 200);
    });
    app.post("/orders", async context => {
        const order: unknown = await context.req.json().catch(() => undefined);
        if (order === undefined) return context.json({ error: "the order is not JSON" }, 400);
        return execute(
            context,
            () => ({ order_number: `${name}-${String(++orderCount).padStart(6, "0")}`, order }),
            201,
        );
    });
    return { ...await startHttpServer(app, options.listen, journal), setFaults };
}
