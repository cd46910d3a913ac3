import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { Pool } from "undici";

// Baseline of the router's cost: a proxy of hono and undici without server choice, deadlines or checks. Started by
// router-cost.ts.
const pool = new Pool(process.argv[2]!, { connections: 64 });
const app = new Hono();
app.post("/*", async context => {
    const body = Buffer.from(await context.req.arrayBuffer());
    const { pathname } = new URL(context.req.url);
    const response = await pool.request({
        method: "POST",
        path: pathname,
        headers: { "content-type": "application/json" },
        body,
    });
    const type = String(response.headers["content-type"]);
    return new Response(await response.body.arrayBuffer(), {
        status: response.statusCode,
        headers: { "content-type": type },
    });
});
serve({ fetch: app.fetch, port: 0, hostname: "127.0.0.1" }, info => console.log(`listening ${info.port}`));
