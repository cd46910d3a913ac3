import { PlatformStore } from "@skylarkmill/platform";
import { afterEach, describe, expect, it } from "vitest";
import { type RepeatingRequest, type RepeatingResponse, startRepeatingServer } from "../support/repeating-server.ts";

const CALL_COUNT = 8;
const cleanups: (() => Promise<unknown>)[] = [];

afterEach(async () => {
    for (const close of cleanups.splice(0).reverse()) await close();
});

async function openStore(respond: (request: RepeatingRequest) => RepeatingResponse): Promise<PlatformStore> {
    const server = await startRepeatingServer({ respond });
    const store = new PlatformStore({ address: new URL(server.url).host });
    cleanups.push(() => server.close(), () => store.close());
    return store;
}

const toBase64 = (text: string): string => Buffer.from(text).toString("base64");

// Guards against a call whose outcome is that of an earlier one, such as a claim that counts as made though another
// process holds it. A call for which the copy can't be told from a response is not checked here.
describe("a response of the platform's service that is sent once more", () => {
    it("makes no failed transaction look committed, and no lost claim of another key", async () => {
        let revision = 10;
        const hasFailed = (index: number): boolean => index % 4 >= 2;
        let callCount = 0;
        const store = await openStore(({ body }) => {
            const { expected } = JSON.parse(body) as { expected: { key: string; }[]; };
            revision += 1;
            const items = expected.map(({ key }) => ({ key, value: toBase64("other"), revision }));
            return hasFailed(callCount++)
                ? { status: 412, body: JSON.stringify({ items }) }
                : { status: 200, body: JSON.stringify({ revision }) };
        });
        const wrong: object[] = [];
        for (let index = 0; index < CALL_COUNT; index += 1) {
            const key = `claims/${index}`;
            const result = await store.commit({ compare: [{ key, modRevision: 0 }], puts: [{ key, value: "mine" }] });
            if (result.isErr()) expect(result.error.code).toBe("outcome_unknown");
            else if (result.value.succeeded === hasFailed(index)) wrong.push({ index, ...result.value });
        }
        expect(wrong).toEqual([]);
    });

    it("makes no transaction look failed that expects the state of an earlier conflict", async () => {
        const conflict = { items: [{ key: "k", value: toBase64("other"), revision: 11 }] };
        let lastConflict: RepeatingResponse | undefined;
        let commitCount = 0;
        const server = await startRepeatingServer({
            respond: ({ body }) => {
                const { expected } = JSON.parse(body) as { expected: { revision: number; }[]; };
                if (expected[0]!.revision !== 11) return lastConflict = { status: 412, body: JSON.stringify(conflict) };
                commitCount += 1;
                return { status: 200, body: JSON.stringify({ revision: 12 }) };
            },
            repetition: "before_response",
            responseToRepeat: () => lastConflict,
        });
        const store = new PlatformStore({ address: new URL(server.url).host });
        cleanups.push(() => server.close(), () => store.close());
        const commit = (modRevision: number) =>
            store.commit({ compare: [{ key: "k", modRevision }], puts: [{ key: "k", value: "mine" }] });
        expect((await commit(10))._unsafeUnwrap()).toMatchObject({ succeeded: false, entries: [{ modRevision: 11 }] });
        const retried = await commit(11);
        expect(commitCount).toBe(1);
        expect(retried.match(({ succeeded }) => `succeeded: ${succeeded}`, ({ code }) => code)).toBe("outcome_unknown");
    });

    it("gives no two holders the same lease", async () => {
        let lease = 100;
        const store = await openStore(() => ({ status: 200, body: JSON.stringify({ lease: lease++, ttl_ms: 3_000 }) }));
        const leaseIds: string[] = [];
        for (let index = 0; index < CALL_COUNT; index += 1) {
            (await store.grantLease(3_000)).map(granted => leaseIds.push(granted.leaseId));
        }
        expect(leaseIds.length).toBeGreaterThan(0);
        expect(new Set(leaseIds).size).toBe(leaseIds.length);
    });

    it("gives no key the value of another one", async () => {
        const store = await openStore(({ path }) => {
            const key = new URL(path, "http://store").searchParams.get("key")!;
            return { status: 200, body: JSON.stringify({ key, value: toBase64(key), revision: 5 }) };
        });
        for (let index = 0; index < CALL_COUNT; index += 1) {
            const result = await store.get(`k/${index}`);
            if (result.isErr()) expect(result.error.code).toBe("unavailable");
            else expect(result.value).toMatchObject({ key: `k/${index}`, value: `k/${index}` });
        }
    });

    it("gives no prefix the keys of another one", async () => {
        const store = await openStore(({ path }) => {
            const prefix = new URL(path, "http://store").searchParams.get("prefix")!;
            const items = [{ key: `${prefix}x`, value: "", revision: 5 }];
            return { status: 200, body: JSON.stringify({ items, store_revision: 9 }) };
        });
        for (let index = 0; index < CALL_COUNT; index += 1) {
            const result = await store.range(`p${index}/`);
            if (result.isErr()) expect(result.error.code).toBe("unavailable");
            else expect(result.value.entries.map(({ key }) => key)).toEqual([`p${index}/x`]);
        }
    });

    it("lets no watch miss a change because of another watch", async () => {
        let revision = 0;
        const changes: number[] = [];
        const store = await openStore(({ path }) => {
            const query = new URL(path, "http://store").searchParams;
            const prefix = query.get("prefix")!;
            // Each call changes the busy prefix, so that the quiet one's responses have revisions that the busy one's
            // watch has not seen yet.
            revision += 1;
            changes.push(revision);
            const newChanges = prefix === "quiet/" ? [] : changes.filter(change => change > Number(query.get("after")));
            const events = newChanges.map(change => ({ key: `busy/${change}`, value: "", revision: change }));
            return { status: 200, body: JSON.stringify({ events, store_revision: revision }) };
        });
        const abort = new AbortController();
        cleanups.push(async () => abort.abort());
        const followQuiet = async (): Promise<void> => {
            for await (const events of store.watch("quiet/", 1, abort.signal)) expect(events).toEqual([]);
        };
        const quiet = followQuiet();
        const seen: number[] = [];
        for await (const events of store.watch("busy/", 1, abort.signal)) {
            for (const { entry } of events) {
                expect(entry.key).toBe(`busy/${entry.modRevision}`);
                seen.push(entry.modRevision);
            }
            if (seen.length >= CALL_COUNT) break;
        }
        abort.abort();
        await quiet;
        expect(seen).toEqual(changes.slice(0, seen.length));
    });
});
