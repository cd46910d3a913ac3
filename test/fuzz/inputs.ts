import fc from "fast-check";

/** Values that a field may hold if another writer sets it; `INFINITE` becomes a number beyond the range of a double. */
const INFINITE = "__infinite__";
const ODD_VALUES: readonly unknown[] = [
    0,
    -1,
    1.5,
    1e308,
    -1e308,
    INFINITE,
    Number.MAX_SAFE_INTEGER,
    2 ** 31,
    65_536,
    "",
    "9".repeat(400),
    "\u0000\ud800",
    true,
    undefined,
    [],
    {},
    [[[[]]]],
];

type Path = readonly (string | number)[];

function listPaths(value: unknown, prefix: Path = []): Path[] {
    if (typeof value !== "object" || !value) return [prefix];
    return [prefix, ...Object.entries(value).flatMap(([key, inner]) => listPaths(inner, [...prefix, key]))];
}

function replaceAt(value: unknown, [key, ...rest]: Path, replacement: unknown): unknown {
    if (key === undefined) return replacement;
    const copy = (Array.isArray(value) ? value.slice() : { ...value as object }) as Record<string | number, unknown>;
    copy[key] = replaceAt(copy[key], rest, replacement);
    return copy;
}

function formatJson(value: unknown): string {
    const text = JSON.stringify(value, (_, inner: unknown) => inner === undefined ? null : inner) as string | undefined; // eslint-disable-line no-restricted-syntax -- null is one of the odd values of JSON
    return (text ?? "").replaceAll(`"${INFINITE}"`, "1e999");
}

/** The sample with up to three fields replaced, as JSON text that may be cut anywhere. */
function mutate(sample: unknown): fc.Arbitrary<string> {
    const paths = listPaths(sample);
    const change = fc.tuple(fc.constantFrom(...paths), fc.oneof(fc.constantFrom(...ODD_VALUES), fc.jsonValue()));
    const changes = fc.oneof(change.map(single => [single]), fc.array(change, { minLength: 2, maxLength: 3 }));
    const cut = fc.option(fc.nat(), { freq: 6, nil: undefined });
    return fc.tuple(changes, cut).map(([list, cutAt]) => {
        const text = formatJson(list.reduce((value, [path, odd]) => replaceAt(value, path, odd), sample));
        return cutAt === undefined ? text : text.slice(0, cutAt % (text.length + 1));
    });
}

/** Creates arbitrary texts: variants of a valid sample, any JSON, any characters, and any bytes. */
export function arbitraryText(sample: unknown): fc.Arbitrary<string> {
    const bytes = fc.uint8Array({ maxLength: 300 }).map(array => Buffer.from(array).toString("utf8"));
    return fc.oneof(
        { arbitrary: mutate(sample), weight: 8 },
        { arbitrary: fc.json(), weight: 1 },
        { arbitrary: fc.string({ unit: "binary", maxLength: 300 }), weight: 1 },
        { arbitrary: bytes, weight: 1 },
    );
}

/** Long texts that cost superlinear time or deep recursion in a careless parser, by name. */
export function listLongTexts(byteCount: number): readonly { readonly name: string; readonly text: string; }[] {
    return [
        { name: "nested lists", text: "[".repeat(byteCount) },
        { name: "closed nested lists", text: "[".repeat(byteCount / 2) + "]".repeat(byteCount / 2) },
        { name: "nested objects", text: '{"a":'.repeat(byteCount / 5) },
        { name: "one string", text: `"${"a".repeat(byteCount)}"` },
        { name: "one number", text: "9".repeat(byteCount) },
        { name: "a list of numbers", text: `[${"1,".repeat(byteCount / 2)}1]` },
        { name: "spaces", text: " ".repeat(byteCount) },
    ];
}
